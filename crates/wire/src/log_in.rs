//! Log-in by SCRAM-SHA-256. Passwords and verifiers must never be logged.

use std::fmt;

use base64::{Engine, engine::general_purpose::STANDARD};
use pgwire::{
    api::auth::sasl::scram::{SCRAM_ITERATIONS, ScramSecret, ScramServerAuth, gen_salted_password},
    messages::{
        PgWireBackendMessage, PgWireFrontendMessage, startup::Authentication,
        startup::PasswordMessageFamily,
    },
};
use rand::RngExt;

use crate::{CallerStream, StreamEnd};

const MECHANISM: &str = "SCRAM-SHA-256";
const SALT_BYTES: usize = 16;

/// Why a log-in failed.
#[derive(Debug)]
pub enum LogInError {
    /// The connection ended, or the caller violated the protocol.
    Stream(StreamEnd),
    /// The password is wrong, the user has no verifier, or the exchange is malformed.
    Denied,
}

impl From<StreamEnd> for LogInError {
    fn from(end: StreamEnd) -> LogInError {
        LogInError::Stream(end)
    }
}

impl fmt::Display for LogInError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LogInError::Stream(end) => end.fmt(f),
            LogInError::Denied => f.write_str("password authentication failed"),
        }
    }
}

/// Derives the verifier of a password with a random salt, in the format that PostgreSQL stores.
pub fn make_verifier(password: &str) -> String {
    let salt: [u8; SALT_BYTES] = rand::rng().random();
    let salted = gen_salted_password(password, &salt, SCRAM_ITERATIONS);
    let secret =
        ScramSecret::verifier_from_salted_password(salt.to_vec(), salted, SCRAM_ITERATIONS);
    match secret {
        ScramSecret::Verifier { salt, iterations, stored_key, server_key } => format!(
            "{MECHANISM}${iterations}:{}${}:{}",
            STANDARD.encode(salt),
            STANDARD.encode(stored_key),
            STANDARD.encode(server_key)
        ),
        ScramSecret::SaltedPassword { .. } => unreachable!("the function returns a verifier"),
    }
}

fn parse_verifier(verifier: &str) -> Option<ScramSecret> {
    let rest = verifier.strip_prefix(MECHANISM)?.strip_prefix('$')?;
    let (parameters, keys) = rest.split_once('$')?;
    let (iterations, salt) = parameters.split_once(':')?;
    let (stored_key, server_key) = keys.split_once(':')?;
    Some(ScramSecret::Verifier {
        salt: STANDARD.decode(salt).ok()?,
        iterations: iterations.parse().ok()?,
        stored_key: STANDARD.decode(stored_key).ok()?,
        server_key: STANDARD.decode(server_key).ok()?,
    })
}

/// Authenticates a caller by SCRAM-SHA-256.
///
/// Without a valid verifier, the whole exchange runs with random keys and fails at the end, so that a
/// caller can't find out which users exist.
pub async fn scram_log_in(
    stream: &mut CallerStream,
    verifier: Option<&str>,
) -> Result<(), LogInError> {
    let parsed = verifier.and_then(parse_verifier);
    let is_denied = parsed.is_none();
    let secret = match parsed {
        Some(secret) => secret,
        None => {
            let random: [u8; 32] = rand::rng().random();
            ScramSecret::Verifier {
                salt: random[..SALT_BYTES].to_vec(),
                iterations: SCRAM_ITERATIONS,
                stored_key: random.to_vec(),
                server_key: random.to_vec(),
            }
        }
    };
    stream.add(&PgWireBackendMessage::Authentication(Authentication::SASL(vec![
        MECHANISM.to_owned(),
    ])));
    stream.flush().await?;
    let first = next_password_message(stream).await?;
    let initial = first.into_sasl_initial_response().map_err(|_| LogInError::Denied)?;
    if initial.auth_method != MECHANISM {
        return Err(LogInError::Denied);
    }
    let data = initial.data.unwrap_or_default();
    let (server_first, exchange) = ScramServerAuth::new()
        .on_client_first_message_with_secret(&data, secret)
        .map_err(|_| LogInError::Denied)?;
    let challenge = Authentication::SASLContinue(server_first.into_bytes().into());
    stream.add(&PgWireBackendMessage::Authentication(challenge));
    stream.flush().await?;
    let last = next_password_message(stream).await?;
    let response = last.into_sasl_response().map_err(|_| LogInError::Denied)?;
    let server_final =
        exchange.on_client_final_message(&response.data).map_err(|_| LogInError::Denied)?;
    if is_denied {
        return Err(LogInError::Denied);
    }
    let proof = Authentication::SASLFinal(server_final.into_bytes().into());
    stream.add(&PgWireBackendMessage::Authentication(proof));
    Ok(())
}

async fn next_password_message(
    stream: &mut CallerStream,
) -> Result<PasswordMessageFamily, LogInError> {
    match stream.next().await? {
        PgWireFrontendMessage::PasswordMessageFamily(message) => Ok(message),
        _ => Err(LogInError::Denied),
    }
}
