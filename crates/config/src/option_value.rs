//! Parsing and rendering of option values.

use std::net::SocketAddr;

use model::Name;

/// The type of an option's value.
pub trait OptionValue: Sized {
    /// Parses the value; fails with a message that says what was expected.
    fn parse(text: &str) -> Result<Self, String>;
    /// Renders the value in the syntax of the file; empty if unset.
    fn render(&self) -> String;
}

macro_rules! number_value {
    ($($number:ty),*) => {$(
        impl OptionValue for $number {
            fn parse(text: &str) -> Result<Self, String> {
                text.parse().map_err(|_| {
                    format!("expected a whole number from 0 to {}, found `{text}`", <$number>::MAX)
                })
            }
            fn render(&self) -> String {
                self.to_string()
            }
        }
    )*};
}

number_value!(u16, u32, u64);

impl OptionValue for f64 {
    fn parse(text: &str) -> Result<f64, String> {
        match text.parse::<f64>() {
            Ok(number) if number.is_finite() && number >= 0.0 => Ok(number),
            _ => Err(format!("expected a number that is not negative, found `{text}`")),
        }
    }

    fn render(&self) -> String {
        self.to_string()
    }
}

impl OptionValue for bool {
    fn parse(text: &str) -> Result<bool, String> {
        match text {
            "yes" => Ok(true),
            "no" => Ok(false),
            _ => Err(format!("expected `yes` or `no`, found `{text}`")),
        }
    }

    fn render(&self) -> String {
        if *self { "yes".to_owned() } else { "no".to_owned() }
    }
}

impl OptionValue for Name {
    fn parse(text: &str) -> Result<Name, String> {
        Ok(Name::from(text))
    }

    fn render(&self) -> String {
        self.to_string()
    }
}

impl OptionValue for SocketAddr {
    fn parse(text: &str) -> Result<SocketAddr, String> {
        text.parse().map_err(|_| {
            format!("expected an IP number and a port such as 127.0.0.1:5432, found `{text}`")
        })
    }

    fn render(&self) -> String {
        self.to_string()
    }
}

impl<T: OptionValue> OptionValue for Option<T> {
    fn parse(text: &str) -> Result<Option<T>, String> {
        if text.is_empty() { Ok(None) } else { T::parse(text).map(Some) }
    }

    fn render(&self) -> String {
        self.as_ref().map(T::render).unwrap_or_default()
    }
}

impl<T: OptionValue> OptionValue for Vec<T> {
    fn parse(text: &str) -> Result<Vec<T>, String> {
        text.split(',').map(str::trim).filter(|part| !part.is_empty()).map(T::parse).collect()
    }

    fn render(&self) -> String {
        self.iter().map(T::render).collect::<Vec<_>>().join(", ")
    }
}

macro_rules! keyword_value {
    ($(#[$outer:meta])* $name:ident { $($(#[$inner:meta])* $variant:ident = $keyword:literal,)* }) => {
        $(#[$outer])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum $name {
            $($(#[$inner])* $variant,)*
        }

        impl OptionValue for $name {
            fn parse(text: &str) -> Result<$name, String> {
                match text {
                    $($keyword => Ok($name::$variant),)*
                    _ => Err(format!(
                        "expected one of {}, found `{text}`",
                        [$(concat!("`", $keyword, "`")),*].join(", "),
                    )),
                }
            }

            fn render(&self) -> String {
                match self {
                    $($name::$variant => $keyword.to_owned(),)*
                }
            }
        }
    };
}

keyword_value! {
    /// The condition for acknowledging a write; see `docs/ACKNOWLEDGEMENT.md`.
    Acknowledge {
        /// A majority of the group holds the write and is still in the same term.
        Majority = "majority",
        /// A second server is still in the same term; the write may be lost at a failover.
        Term = "term",
    }
}

keyword_value! {
    /// The handling of writes under `majority` while the replicas are far behind.
    WhenBehind {
        /// The write runs and waits for the replicas, up to `acknowledge_timeout_ms`.
        Wait = "wait",
        /// The write is refused before it runs.
        Refuse = "refuse",
        /// The write runs and is acknowledged as under `term`.
        Term = "term",
    }
}

keyword_value! {
    /// How a read without a session token is served; see `docs/SESSIONS.md`.
    UntrackedReads {
        /// The primary is asked for its position, then any server at that position serves the read.
        ReadIndex = "read-index",
        /// The primary serves the read, and a second server confirms that the primary is current.
        Primary = "primary",
        /// The connection counts as the session, so reads see the writes made over it.
        Connection = "connection",
    }
}

keyword_value! {
    /// How the server of a read is chosen; see `docs/ROUTING.md`.
    ReadPolicy {
        /// The lowest expected time by latency, requests in flight and availability zone.
        Cost = "cost",
        /// The fewest requests in flight.
        LeastInFlight = "least-in-flight",
        /// Each replica in turn.
        RoundRobin = "round-robin",
        /// The primary for every session that has written; a baseline for comparisons.
        PrimaryAfterWrite = "primary-after-write",
    }
}

keyword_value! {
    /// The minimum severity of log records.
    LogLevel {
        /// Failures that need an operator.
        Error = "error",
        /// Conditions that may need an operator.
        Warn = "warn",
        /// Events of interest to operators.
        Info = "info",
        /// Events of interest to developers.
        Debug = "debug",
        /// All events.
        Trace = "trace",
    }
}

impl LogLevel {
    /// Returns the filter for records of this level and of more severe ones.
    pub fn filter(self) -> log::LevelFilter {
        match self {
            LogLevel::Error => log::LevelFilter::Error,
            LogLevel::Warn => log::LevelFilter::Warn,
            LogLevel::Info => log::LevelFilter::Info,
            LogLevel::Debug => log::LevelFilter::Debug,
            LogLevel::Trace => log::LevelFilter::Trace,
        }
    }
}

/// The number of daemons that hold connections to a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnerCount {
    /// Derived from the group's connections and the number of daemons.
    Auto,
    /// A fixed number.
    Fixed(u16),
}

impl OptionValue for OwnerCount {
    fn parse(text: &str) -> Result<OwnerCount, String> {
        if text == "auto" {
            return Ok(OwnerCount::Auto);
        }
        match text.parse() {
            Ok(count) if count > 0 => Ok(OwnerCount::Fixed(count)),
            _ => Err(format!("expected `auto` or a whole number above 0, found `{text}`")),
        }
    }

    fn render(&self) -> String {
        match self {
            OwnerCount::Auto => "auto".to_owned(),
            OwnerCount::Fixed(count) => count.to_string(),
        }
    }
}
