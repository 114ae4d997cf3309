//! Log-in of a caller: start-up parameters, permissions and authentication.

use std::{
    collections::BTreeMap,
    sync::{Arc, atomic::Ordering},
};

use pgwire::messages::{PgWireBackendMessage, response::ErrorResponse, startup::Authentication};
use tokio_rustls::TlsAcceptor;
use wire::{CallerStream, LogInError, StartupRequest, scram_log_in};

use crate::{context::Context, relay::relay_cancel};

/// Start-up parameters. Those in `options` are split into separate entries.
pub(crate) type Parameters = BTreeMap<String, String>;

/// Logs a caller in. Returns its parameters, or `None` if the connection is to be closed.
pub(crate) async fn log_in(
    context: &Arc<Context>,
    stream: &mut CallerStream,
    tls: Option<&Arc<TlsAcceptor>>,
) -> Option<Parameters> {
    let (mut parameters, encrypted) = match stream.start(tls).await {
        Ok(StartupRequest::Session { parameters, tls }) => (parameters, tls),
        Ok(StartupRequest::Cancel { process, secret }) => {
            cancel(context, process, secret).await;
            return None;
        }
        Err(_) => return None,
    };
    let denied = validate_start(context, &mut parameters, encrypted);
    if let Err((code, message)) = denied {
        send_fatal(stream, code, &message).await;
        return None;
    }
    let user = parameters.get("user").cloned().unwrap_or_default();
    let in_force = context.in_force.load_full();
    let options = in_force.configuration.users.get(user.as_str());
    let needs_password = options.is_none_or(|options| options.verifier.is_some());
    if needs_password {
        let verifier = options.and_then(|options| options.verifier.as_deref());
        match scram_log_in(stream, verifier).await {
            Ok(()) => {}
            Err(LogInError::Stream(_)) => return None,
            Err(LogInError::Denied) => {
                log::warn!(user = user.as_str(); "log-in denied");
                let message = format!("password authentication failed for user \"{user}\"");
                send_fatal(stream, "28P01", &message).await;
                return None;
            }
        }
    }
    stream.add(&PgWireBackendMessage::Authentication(Authentication::Ok));
    Some(parameters)
}

async fn cancel(context: &Arc<Context>, process: i32, secret: i32) {
    let Some(target) = context.cancels.find(process, secret) else { return };
    let key = target.running.upgrade().and_then(|running| running.lock().clone());
    let relayed = *target.relayed_to.lock();
    match (key, relayed) {
        (Some(key), _) => key.cancel().await,
        (None, Some(owner)) => relay_cancel(context, owner, target.session_id).await,
        (None, None) => {}
    }
}

/// Validates the start-up parameters before authentication.
fn validate_start(
    context: &Context,
    parameters: &mut Parameters,
    encrypted: bool,
) -> Result<(), (&'static str, String)> {
    if context.settings.tls.required && !encrypted {
        return Err(("28000", "this daemon takes only connections under TLS".to_owned()));
    }
    if context.is_stopping() {
        return Err(("57P03", "the daemon is stopping; connect again".to_owned()));
    }
    let in_force = context.in_force.load();
    if in_force.revision == 0 {
        return Err(("57P03", "no configuration is in force yet; connect again".to_owned()));
    }
    let max_callers = in_force.configuration.limits.callers;
    if context.callers.load(Ordering::Relaxed) >= max_callers {
        return Err(("53300", format!("this daemon takes at most {max_callers} callers")));
    }
    let user = parameters.get("user").cloned().unwrap_or_default();
    if user.is_empty() {
        return Err(("28000", "no user name was given".to_owned()));
    }
    let service = parameters.entry("database".to_owned()).or_insert(user.clone()).clone();
    if !in_force.configuration.services.contains_key(service.as_str()) {
        let known: Vec<&str> = in_force.configuration.services.keys().map(|name| &**name).collect();
        let message =
            format!("there is no service \"{service}\"; known here: {}", known.join(", "));
        return Err(("3D000", message));
    }
    let options = in_force.configuration.users.get(user.as_str());
    let allowed = options.is_none_or(|options| {
        options.services.is_empty() || options.services.iter().any(|name| **name == *service)
    });
    if !allowed {
        return Err(("42501", format!("user \"{user}\" may not open the service \"{service}\"")));
    }
    split_options(parameters)
}

/// Moves the `-c name=value` pairs of the `options` parameter into separate entries.
fn split_options(parameters: &mut Parameters) -> Result<(), (&'static str, String)> {
    let Some(options) = parameters.remove("options") else { return Ok(()) };
    let mut arguments = options.split_whitespace();
    while let Some(argument) = arguments.next() {
        let pair = match argument {
            "-c" => arguments.next(),
            argument => argument.strip_prefix("-c").or_else(|| argument.strip_prefix("--")),
        };
        let Some((name, value)) = pair.and_then(|pair| pair.split_once('=')) else {
            return Err((
                "22023",
                format!("the option `{argument}` is not of the form -c name=value"),
            ));
        };
        parameters.insert(name.to_owned(), value.to_owned());
    }
    Ok(())
}

pub(crate) async fn send_fatal(stream: &mut CallerStream, code: &str, message: &str) {
    let fields = vec![
        (b'S', "FATAL".to_owned()),
        (b'V', "FATAL".to_owned()),
        (b'C', code.to_owned()),
        (b'M', format!("wardtiller: {message}")),
    ];
    stream.add(&PgWireBackendMessage::ErrorResponse(ErrorResponse::new(fields)));
    // The caller may have disconnected, so a failure is ignored.
    let _ = stream.flush().await;
}
