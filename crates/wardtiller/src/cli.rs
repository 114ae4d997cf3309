//! The definition of the command line. Its doc comments are the help texts.

use std::{net::SocketAddr, path::PathBuf};

xflags::xflags! {
    /// A database proxy with session consistency.
    cmd wardtiller {
        /// Runs the daemon of this host until it receives a stop signal.
        cmd run {
            /// The settings file of the host.
            required --settings settings: PathBuf
        }
        /// Checks a configuration and reports every mistake in it.
        cmd check {
            /// The configuration file.
            required file: PathBuf
        }
        /// Checks a configuration and activates it atomically on all daemons.
        cmd apply {
            /// The configuration file.
            required file: PathBuf
            /// The IP address and port of the platform.
            required --platform platform: SocketAddr
            /// The prefix of this installation's keys in the store (default: wardtiller).
            optional --prefix prefix: String
            /// Apply only if this revision is active, so that no concurrent change is overwritten.
            optional --base base: u64
        }
        /// Shows the state of daemons.
        cmd show {
            /// The operator address of a daemon; may be repeated.
            repeated --operator operator: SocketAddr
            /// Print JSON.
            optional --json
        }
        /// Reads a password from standard input and prints its SCRAM-SHA-256 verifier.
        cmd verifier {
        }
        /// Runs a complete system of stand-ins and daemons on this machine. Every user of the configuration can log in;
        /// those of the sample have no password.
        cmd demo {
            /// The configuration file (default: a built-in sample).
            optional --config config: PathBuf
            /// The caller address of the first daemon; the others use the following ports.
            optional --listen listen: SocketAddr
            /// The number of daemons (default: 2).
            optional --daemons daemons: usize
            /// The delay until replicas show a committed change, in milliseconds (default: 500).
            optional --lag-ms lag_ms: u64
        }
        /// Runs a mix of requests against a system and checks its consistency guarantees.
        cmd load {
            /// The configuration file (default: a built-in sample).
            optional --config config: PathBuf
            /// The mix of requests: skyndibiti or authority (default: chosen by the configuration).
            optional --mix mix: String
            /// A caller address of a running system; may be repeated. Without one, a local system is started.
            repeated --target target: SocketAddr
            /// The duration of the run in seconds (default: 10).
            optional --seconds seconds: u64
            /// The seed of every random choice (default: 1).
            optional --seed seed: u64
            /// The number of concurrent callers (default: 48).
            optional --callers callers: usize
            /// The number of daemons in the local system (default: 8).
            optional --daemons daemons: usize
            /// The delay until replicas of the local system show a committed change, in milliseconds (default: 500).
            optional --lag-ms lag_ms: u64
            /// A fault in the local system, as WHAT@START_MS+FOR_MS; may be repeated.
            repeated --fault fault: String
            /// The additional delay of each endpoint response, in milliseconds (default: 0).
            optional --answer-delay-ms answer_delay_ms: u64
            /// The execution time of each statement on an endpoint, in microseconds (default: 0).
            optional --service-us service_us: u64
            /// The delay between two requests of one caller, in milliseconds (default: 0).
            optional --pace-ms pace_ms: u64
            /// Compare one daemon with a direct connection instead of running the mix.
            optional --compare
            /// Write the daemons' log to standard error.
            optional --verbose
            /// Print JSON.
            optional --json
        }
    }
}
