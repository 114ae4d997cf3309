//! The definition of the command line. Its doc comments are the help texts.

use std::{net::SocketAddr, path::PathBuf};

xflags::xflags! {
    /// A database proxy with session consistency.
    cmd wardtiller {
        /// Runs the daemon of this host until it is told to stop.
        cmd run {
            /// The host's settings.
            required --settings settings: PathBuf
        }
        /// Checks a configuration and reports every mistake in it.
        cmd check {
            /// The configuration.
            required file: PathBuf
        }
        /// Checks a configuration and puts it in force everywhere: whole or not at all.
        cmd apply {
            /// The configuration.
            required file: PathBuf
            /// The platform's IP number and port.
            required --platform platform: SocketAddr
            /// The prefix of this installation's keys (default: wardtiller).
            optional --prefix prefix: String
            /// Apply only on top of this revision, so that nobody else's change is overwritten.
            optional --base base: u64
        }
        /// Shows the state of daemons.
        cmd show {
            /// The operators' address of a daemon; may be given several times.
            repeated --operator operator: SocketAddr
            /// Print JSON.
            optional --json
        }
        /// Reads a password from standard input and prints its SCRAM-SHA-256 verifier.
        cmd verifier {
        }
        /// Runs a whole system of stand-ins and daemons on this machine. Any user of the configuration logs in;
        /// those of the sample have no password.
        cmd demo {
            /// The configuration (default: a sample that is built in).
            optional --config config: PathBuf
            /// Where the first daemon listens; the next ones take the following ports.
            optional --listen listen: SocketAddr
            /// How many daemons (default: 2).
            optional --daemons daemons: usize
            /// How far the data that replicas show lags (default: 500).
            optional --lag-ms lag_ms: u64
        }
        /// Drives a system with a user's mix of requests and checks the promises while it runs.
        cmd load {
            /// The configuration (default: a sample that is built in).
            optional --config config: PathBuf
            /// The mix of requests: skyndibiti or authority (default: what fits the configuration).
            optional --mix mix: String
            /// Caller addresses of a running system; without any, a local system is started.
            repeated --target target: SocketAddr
            /// How long (default: 10).
            optional --seconds seconds: u64
            /// The seed of every random choice (default: 1).
            optional --seed seed: u64
            /// Callers connected at a time (default: 48).
            optional --callers callers: usize
            /// Daemons of the local system (default: 8).
            optional --daemons daemons: usize
            /// How far the data that replicas show lags in the local system (default: 500).
            optional --lag-ms lag_ms: u64
            /// A fault in the local system, as WHAT@START_MS+FOR_MS; may be given several times.
            repeated --fault fault: String
            /// How much later each answer of an endpoint comes, as over a network (default: 0).
            optional --answer-delay-ms answer_delay_ms: u64
            /// How long each statement takes on an endpoint, in microseconds (default: 0).
            optional --service-us service_us: u64
            /// The time between the requests of one caller (default: 0).
            optional --pace-ms pace_ms: u64
            /// Instead of the mix, compare one daemon with a direct connection, in turns.
            optional --compare
            /// Write the daemons' log to standard error.
            optional --verbose
            /// Print JSON.
            optional --json
        }
    }
}
