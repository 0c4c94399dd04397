//! What went wrong, for operators: each error says what failed and where, and what can be done about it.

use std::error::Error;

/// An error that operators see.
pub trait Advice: Error {
    /// What an operator can do about it.
    fn advice(&self) -> String;

    /// All of it in one line.
    fn line(&self) -> String {
        format!("{self}; {}", self.advice()).replace('\n', " ")
    }
}

#[cfg(test)]
pub mod tests {
    use super::Advice;

    /// Goes through all the variants of an error, each told by the one before, and wants of each what failed, where,
    /// and an advice. `next` matches on them without a wildcard, so a new variant has to be put in.
    pub fn each_has_its_advice<E: Advice>(next: impl Fn(Option<&E>) -> Option<E>) {
        let mut error = next(None);
        while let Some(now) = error {
            let (words, advice) = (now.to_string(), now.advice());
            assert!(words.contains(": "), "{words:?} does not name what failed first");
            assert!(advice.len() > 10, "{words:?} has no advice: {advice:?}");
            assert!(!now.line().contains('\n'), "{words:?}");
            error = next(Some(&now));
        }
    }
}
