//! One cause's last call on one target, with the version by which two processes agree.

use crate::limits::{VERSION_MOST, WHY_MOST};
use crate::target::{By, Refused, Target};
use crate::Timestamp;

/// The last call of one cause on one target.
///
/// Of two words on the same target by the same cause the greater wins, in the order of the fields: the higher
/// version; on a tie the one that holds the target out; then the longer lease; the rest only makes the order total,
/// so that merging is associative, commutative and idempotent whatever came in.
///
/// A version is a Lamport clock that runs no slower than the Unix clock: the call's microsecond, or one more than the
/// highest version that the process has seen, whichever is higher (Lamport 1978; hybrid logical clocks, Kulkarni
/// et al. 2014). So a call that comes after another was seen always beats it, even where the clock was set back, and
/// of two calls that did not see each other the later one wins by the clock that both processes share.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Word {
    /// Which of two words is the newer.
    pub version: u64,
    /// Whether it takes the target out; else it calls it back.
    pub out: bool,
    /// For the fleet's bans: the end of the lease.
    pub until: Option<Timestamp>,
    /// When the call came.
    pub at: Timestamp,
    /// The reason given: at most [`WHY_MOST`] bytes, no control characters.
    pub why: String,
}

/// A word with whom it is from and on what: what goes from process to process. Calls back are among them (`out` is
/// false), so that they beat older bans.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ban {
    /// On what.
    pub target: Target,
    /// Whose cause.
    pub by: By,
    /// The call.
    pub word: Word,
}

impl Ban {
    /// What is wrong with a ban that came from elsewhere, if anything.
    pub fn check(&self) -> Result<(), &'static str> {
        self.target.check().map_err(|_: Refused| "target: empty, too long, or with control characters")?;
        if self.word.version > VERSION_MOST {
            return Err("version: higher than any clock gives");
        }
        if self.word.why.len() > WHY_MOST || self.word.why.chars().any(char::is_control) {
            return Err("why: too long, or with control characters");
        }
        match (self.by, self.word.out, self.word.until) {
            (By::Fleet { .. }, true, None) => Err("until: a fleet's ban has a lease"),
            (By::Operator, _, Some(_)) | (_, false, Some(_)) => Err("until: only a fleet's ban has a lease"),
            _ => Ok(()),
        }
    }
}

/// A reason as it is kept: control characters become spaces, so that it stays one log line, and it is cut at
/// [`WHY_MOST`] bytes.
pub(crate) fn reason(why: &str) -> String {
    let mut kept = String::new();
    for c in why.trim().chars().map(|c| if c.is_control() { ' ' } else { c }) {
        if kept.len() + c.len_utf8() > WHY_MOST {
            break;
        }
        kept.push(c);
    }
    kept
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_reason_is_one_line_and_cut_at_a_character() {
        assert_eq!(reason("  disk\nswap\t"), "disk swap");
        let long = reason(&"é".repeat(100));
        assert_eq!((long.len(), long.chars().count()), (WHY_MOST, WHY_MOST / 2));
        assert_eq!(reason(&format!("a{}", "é".repeat(100))).len(), WHY_MOST - 1);
    }

    #[test]
    fn what_is_wrong_with_a_ban_is_named() {
        let word =
            Word { version: 7, out: true, until: None, at: Timestamp::from_micros(7), why: "swap".into() };
        let good = Ban { target: Target::Engine("e".into()), by: By::Operator, word };
        assert_eq!(good.check(), Ok(()));
        let bad = |change: fn(&mut Ban)| {
            let mut ban = good.clone();
            change(&mut ban);
            ban.check().expect_err("refused")
        };
        assert!(bad(|b| b.target = Target::Engine("a\nb".into())).starts_with("target"));
        assert!(bad(|b| b.target = Target::Engine(String::new())).starts_with("target"));
        assert!(bad(|b| b.word.version = VERSION_MOST + 1).starts_with("version"));
        assert!(bad(|b| b.word.why = "x".repeat(WHY_MOST + 1)).starts_with("why"));
        assert!(bad(|b| b.by = By::Fleet { permit: 1 }).starts_with("until"));
        assert!(bad(|b| b.word.until = Some(Timestamp::from_micros(9))).starts_with("until"));
    }
}
