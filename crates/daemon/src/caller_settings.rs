//! Settings of a caller's session: those passed on to endpoints, and those of wardtiller itself.

use bytes::Bytes;
use model::{RefusalReason, Verdict};
use session::SessionToken;
use wire::{Effect, ResponseBuilder, single_row_response};

use crate::{
    caller_session::CallerSession,
    request::{Request, RequestError},
};

impl CallerSession {
    /// Runs SET, SHOW and DISCARD, and puts their answers into the request's steps.
    pub(crate) fn run_local_statements(
        &mut self,
        request: &mut Request,
    ) -> Result<(), RequestError> {
        let effects = std::mem::take(&mut request.local);
        let simple = request.steps.is_empty();
        let mut answer_steps: Vec<usize> = request
            .steps
            .iter()
            .enumerate()
            .filter(|(_, step)| step.message.is_empty())
            .map(|(index, _)| index)
            .rev()
            .collect();
        for effect in effects {
            let answer = self.local_answer(&effect, simple)?;
            match answer_steps.pop() {
                Some(index) => request.steps[index].message = answer,
                None => request.steps.push(peer::Step {
                    shape: peer::StepShape::Canned as i32,
                    message: answer,
                    statement: 0,
                }),
            }
        }
        Ok(())
    }

    fn local_answer(&mut self, effect: &Effect, describe: bool) -> Result<Bytes, RequestError> {
        match effect {
            Effect::Set { name, value } => {
                self.set(name, value.as_deref())?;
                Ok(ResponseBuilder::default().complete("SET").finish())
            }
            Effect::ResetAll => {
                self.settings.reset_all();
                Ok(ResponseBuilder::default().complete("RESET").finish())
            }
            Effect::Discard => {
                self.discard()?;
                Ok(ResponseBuilder::default().complete("DISCARD ALL").finish())
            }
            Effect::Show { name } => {
                let value = self.show_setting(name)?;
                let (description, row) = single_row_response(name, &value);
                let mut answer = Vec::new();
                if describe {
                    answer.extend_from_slice(&description);
                }
                answer.extend_from_slice(&row);
                answer.extend_from_slice(&ResponseBuilder::default().complete("SHOW").finish());
                Ok(Bytes::from(answer))
            }
            _ => Err(RequestError::new("XX000", "not a statement that is answered here")),
        }
    }

    fn set(&mut self, name: &str, value: Option<&str>) -> Result<(), RequestError> {
        if name.starts_with("wardtiller.") {
            return self.set_wardtiller_setting(name, value);
        }
        self.settings
            .set(name, value)
            .map_err(|error| RequestError::new("0A000", format!("wardtiller: {error}")))
    }

    /// Changes a `wardtiller.*` setting of the session.
    pub(crate) fn set_wardtiller_setting(
        &mut self,
        name: &str,
        value: Option<&str>,
    ) -> Result<(), RequestError> {
        let value = value.unwrap_or_default();
        match name {
            "wardtiller.session" => {
                let token: SessionToken =
                    value.parse().map_err(|error: session::InvalidToken| {
                        let reason = RefusalReason::BadToken;
                        RequestError::new(reason.sqlstate(Verdict::NotRun), error.to_string())
                    })?;
                self.tracked = true;
                // An empty token starts a new session. Any other token is merged into the current one.
                if token.is_empty() {
                    self.token = token;
                } else {
                    self.token.merge(&token);
                }
                Ok(())
            }
            "wardtiller.read_kind" => {
                self.check_read_kind(value)?;
                value.clone_into(&mut self.read_kind);
                Ok(())
            }
            "wardtiller.group" if self.transaction != b'I' => Err(RequestError::new(
                "25001",
                "wardtiller.group can't change within a transaction",
            )),
            "wardtiller.group" => {
                self.check_group(value)?;
                self.group_name = (!value.is_empty()).then(|| value.to_owned());
                Ok(())
            }
            _ => Err(RequestError::new("42704", format!("there is no setting `{name}`"))),
        }
    }

    pub(crate) fn check_read_kind(&self, kind: &str) -> Result<(), RequestError> {
        let in_force = self.context.in_force.load();
        let Some(service) = in_force.configuration.services.get(&self.service_name) else {
            return Ok(());
        };
        if kind.is_empty() || service.kinds.contains_key(kind) {
            return Ok(());
        }
        let known: Vec<&str> = service.kinds.keys().map(|kind| &**kind).collect();
        let message = format!("there is no kind of read `{kind}`; known: {}", known.join(", "));
        Err(RequestError::new("22023", message))
    }

    fn check_group(&self, group: &str) -> Result<(), RequestError> {
        let in_force = self.context.in_force.load();
        let Some(service) = in_force.configuration.services.get(&self.service_name) else {
            return Ok(());
        };
        if group.is_empty() || service.groups.iter().any(|known| **known == *group) {
            return Ok(());
        }
        let known: Vec<&str> = service.groups.iter().map(|group| &**group).collect();
        let message = format!("there is no group `{group}`; known: {}", known.join(", "));
        Err(RequestError::new("22023", message))
    }

    fn discard(&mut self) -> Result<(), RequestError> {
        if self.transaction != b'I' {
            let message = "DISCARD ALL can't run in a transaction";
            return Err(RequestError::new("25001", message));
        }
        self.settings.reset_all();
        self.extended.prepared.clear();
        self.read_kind.clear();
        Ok(())
    }

    fn show_setting(&self, name: &str) -> Result<String, RequestError> {
        match name {
            "wardtiller.session" => Ok(self.token.to_string()),
            "wardtiller.read_kind" => Ok(self.read_kind.clone()),
            "wardtiller.group" => Ok(self.group_name.clone().unwrap_or_default()),
            "wardtiller.served_by" => Ok(self.served_by.clone()),
            "wardtiller.revision" => Ok(self.context.in_force.load().revision.to_string()),
            "wardtiller.host" => Ok(self.context.host().to_string()),
            _ => Err(RequestError::new("42704", format!("there is no setting `{name}`"))),
        }
    }
}
