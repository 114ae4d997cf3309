//! Mistakes in a configuration file, with their line and a suggested fix.

use std::fmt;

/// A mistake in a configuration file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// The file name as given by the operator.
    pub file: String,
    /// The line, counted from 1.
    pub line: u32,
    /// The offending key or section.
    pub key: String,
    /// What is wrong.
    pub message: String,
    /// A suggested fix.
    pub suggestion: Option<String>,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}: {}", self.file, self.line, self.key, self.message)?;
        match &self.suggestion {
            Some(suggestion) => write!(f, "; {suggestion}"),
            None => Ok(()),
        }
    }
}

/// Every mistake in a file, sorted by line.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Problems {
    /// The mistakes.
    pub list: Vec<Problem>,
}

impl fmt::Display for Problems {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, problem) in self.list.iter().enumerate() {
            if index > 0 {
                f.write_str("\n")?;
            }
            problem.fmt(f)?;
        }
        Ok(())
    }
}

impl std::error::Error for Problems {}

/// Collects the mistakes in one file.
pub(crate) struct ProblemList<'a> {
    file: &'a str,
    list: Vec<Problem>,
}

impl<'a> ProblemList<'a> {
    pub(crate) fn new(file: &'a str) -> ProblemList<'a> {
        ProblemList { file, list: Vec::new() }
    }

    pub(crate) fn add(&mut self, line: u32, key: &str, message: impl Into<String>) {
        self.add_with(line, key, message, None);
    }

    pub(crate) fn add_with(
        &mut self,
        line: u32,
        key: &str,
        message: impl Into<String>,
        suggestion: Option<String>,
    ) {
        self.list.push(Problem {
            file: self.file.to_owned(),
            line,
            key: key.to_owned(),
            message: message.into(),
            suggestion,
        });
    }

    /// Returns `value`, or the collected mistakes if there are any.
    pub(crate) fn finish<T>(mut self, value: T) -> Result<T, Problems> {
        if self.list.is_empty() {
            return Ok(value);
        }
        self.list.sort_by_key(|problem| problem.line);
        Err(Problems { list: self.list })
    }
}

/// Minimum Jaro-Winkler similarity for suggesting a known word.
const MIN_SIMILARITY: f64 = 0.7;

/// Suggests the most similar known word, or lists all of them if none is similar. Returns `None` if there are none.
pub(crate) fn suggest<'a>(
    word: &str,
    known: impl IntoIterator<Item = &'a str> + Clone,
) -> Option<String> {
    let best = known
        .clone()
        .into_iter()
        .map(|candidate| (strsim::jaro_winkler(word, candidate), candidate))
        .filter(|(similarity, _)| *similarity >= MIN_SIMILARITY)
        .max_by(|left, right| left.0.total_cmp(&right.0));
    if let Some((_, candidate)) = best {
        return Some(format!("did you mean `{candidate}`?"));
    }
    let all: Vec<&str> = known.into_iter().collect();
    if all.is_empty() { None } else { Some(format!("known here: {}", all.join(", "))) }
}
