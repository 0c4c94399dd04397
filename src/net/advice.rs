//! Errors for operators: each says what failed, where, and what to do about it.

use std::error::Error;

/// An error that is shown to operators.
pub trait Advice: Error {
    /// What an operator can do about the error.
    fn advice(&self) -> String;

    /// The error and its advice in one line.
    fn line(&self) -> String {
        format!("{self}; {}", self.advice()).replace('\n', " ")
    }
}

#[cfg(test)]
pub mod tests {
    use super::Advice;

    /// Checks every variant of an error: its text names what failed before a colon, its advice is not empty, and
    /// both together are one line. `next` returns the variant that follows a given one and matches without a
    /// wildcard, so the compiler asks for each new variant.
    pub fn assert_each_has_advice<E: Advice>(next: impl Fn(Option<&E>) -> Option<E>) {
        let mut error = next(None);
        while let Some(current) = error {
            let (text, advice) = (current.to_string(), current.advice());
            assert!(text.contains(": "), "{text:?} does not name what failed first");
            assert!(advice.len() > 10, "{text:?} has no advice: {advice:?}");
            assert!(!current.line().contains('\n'), "{text:?}");
            error = next(Some(&current));
        }
    }
}
