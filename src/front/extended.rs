//! The second front's own part: extended queries, and the few statements answered without an
//! engine.
//!
//! Statements and portals are text and values, no more: they hold no engine and are no request.
//! Only Execute takes a request from the core, each a fresh one with its own id. There are no
//! transactions, so portals last until they are closed, replaced or their session ends.

use super::answer;
use super::session::Session;
use super::wire::Wire;
use crate::core::now;
use crate::core::result_buffer::ResultSet;
use crate::core::MAX_STATEMENT_BYTES;
use crate::proto::literal::{self, Param};
use crate::proto::pg::{self, Fault, Kind, Message};
use crate::proto::tables::{self, token, Token};
use crate::proto::{fields, Malformed};
use std::cell::Cell;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;
use tokio::io::{AsyncRead, AsyncWrite};

/// Bytes of statements and portals that a session may hold.
const MOST_HELD: usize = 256 * 1024;
/// Statements and portals that a session may hold, each.
const MOST_NAMES: usize = 256;
/// Portals of a session whose rows wait to be fetched: each keeps a result in memory.
const MOST_SUSPENDED: usize = 4;
/// Parameters of a statement: a client that wants more has lost count.
const MOST_PARAMS: usize = 1_000;

/// Statements that are not supported, by their first word.
const UNSUPPORTED: [&str; 25] = [
    "abort",
    "begin",
    "close",
    "commit",
    "copy",
    "deallocate",
    "declare",
    "discard",
    "end",
    "execute",
    "fetch",
    "listen",
    "lock",
    "move",
    "notify",
    "prepare",
    "release",
    "reset",
    "rollback",
    "savepoint",
    "set",
    "show",
    "start",
    "unlisten",
    "vacuum",
];
/// Settings that a client may set and that change nothing here.
const HARMLESS: [&str; 3] = ["application_name", "client_min_messages", "extra_float_digits"];

/// What a statement is to this front.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Sort {
    /// Nothing to do.
    Empty,
    /// `SET`: answered here; the statement time-out, if it is that.
    Set(Option<Option<u64>>),
    /// For an engine.
    Request,
}

/// A prepared statement.
struct Prepared {
    pairs: Vec<(String, String)>,
    statement: String,
    types: Vec<u32>,
    sort: Sort,
    /// The key written into the text has served one request: later ones get their own.
    key_spent: Cell<bool>,
}

/// Where a portal stands.
enum Stage {
    Ready,
    Suspended(ResultSet, (usize, usize)),
    Done,
}

/// A portal: a statement with its values.
struct Portal {
    prepared: Rc<Prepared>,
    pairs: Vec<(String, Option<String>)>,
    statement: String,
    formats: Vec<u16>,
    stage: Stage,
}

/// What a session of the second front holds.
#[derive(Default)]
pub struct Names {
    statements: BTreeMap<String, Rc<Prepared>>,
    portals: BTreeMap<String, Portal>,
    /// In milliseconds; none: the class's.
    pub(super) statement_timeout: Option<u64>,
}

/// The session's time-out as start-up parameters give it.
pub fn start_timeout(parameters: &[(String, String)]) -> Result<Option<u64>, Fault> {
    let mut found = None;
    for (name, value) in parameters {
        if name == "statement_timeout" {
            found = timeout_value(value)?;
        } else if name == "options" {
            let words = value.split_whitespace().map(|w| w.trim_start_matches("-c").trim_start_matches("--"));
            for (_, v) in words.filter_map(|w| w.split_once('=')).filter(|w| w.0 == "statement_timeout") {
                found = timeout_value(v)?;
            }
        }
    }
    Ok(found)
}

/// `1500`, `'1500'`, `'2s'`, `'1min'`; 0 and DEFAULT: none.
fn timeout_value(text: &str) -> Result<Option<u64>, Fault> {
    let text = text.trim().trim_matches('\'').trim();
    if text.eq_ignore_ascii_case("default") {
        return Ok(None);
    }
    let digits = text.bytes().take_while(u8::is_ascii_digit).count();
    let unit = match text[digits..].trim() {
        "" | "ms" => Some(1),
        "s" => Some(1_000),
        "min" => Some(60_000),
        "h" => Some(3_600_000),
        _ => None,
    };
    let value = text[..digits].parse::<u64>().ok().zip(unit).and_then(|(n, unit)| n.checked_mul(unit));
    let value = value.filter(|ms| *ms <= 86_400_000);
    let fault = || {
        Fault::new("22023", format!("field statement_timeout is no time of a day or less: {}", short(text)))
    };
    value.map(|ms| (ms > 0).then_some(ms)).ok_or_else(fault)
}

/// What a statement is; an error for what is not supported.
fn sort(statement: &str) -> Result<Sort, Fault> {
    if tables::is_empty(statement) {
        return Ok(Sort::Empty);
    }
    tables::single(statement).map_err(|e| Fault::new("0A000", e.0))?;
    let (mut rest, mut words) = (statement, Vec::new());
    while let Some((kind, len)) = token(rest) {
        let (head, tail) = rest.split_at(len.min(rest.len()));
        let comment = kind == Token::Opaque && (head.starts_with("--") || head.starts_with("/*"));
        if kind != Token::Space && !comment && head != ";" && words.len() < 8 {
            words.push(head);
        }
        rest = tail;
    }
    let word = |i: usize| words.get(i).map_or(String::new(), |w| w.to_ascii_lowercase());
    if word(0) == "set" {
        let name = 1 + usize::from(word(1) == "session" && !["=", "to"].contains(&word(2).as_str()));
        if ["=", "to"].contains(&word(name + 1).as_str()) && words.len() > name + 2 {
            if word(name) == "statement_timeout" && words.len() == name + 3 {
                return Ok(Sort::Set(Some(timeout_value(words[name + 2])?)));
            }
            if HARMLESS.contains(&word(name).as_str()) {
                return Ok(Sort::Set(None));
            }
        }
    }
    if UNSUPPORTED.contains(&word(0).as_str()) {
        let why = format!(
            "{} is not supported: there are no transactions, cursors or COPY",
            word(0).to_uppercase()
        );
        return Err(Fault::new("0A000", why));
    }
    Ok(Sort::Request)
}

impl Prepared {
    fn new(sql: &str, mut types: Vec<u32>) -> Result<Prepared, Fault> {
        let (comment, statement) = fields::part(sql).map_err(Fault::from)?;
        let pairs: Vec<(String, String)> =
            fields::pairs(comment).map(|(n, v)| (n.to_owned(), v.to_owned())).collect();
        // What is written out must be legal now; what is bound is looked at when it comes.
        let written = pairs.iter().filter(|p| !p.1.starts_with('$'));
        fields::read(written.map(|(n, v)| (n.as_str(), v.as_str()))).map_err(Fault::from)?;
        let in_fields = pairs.iter().filter_map(|p| p.1.strip_prefix('$'));
        let in_fields = in_fields.map(|n| n.parse::<usize>().unwrap_or(usize::MAX)).max().unwrap_or(0);
        let count = literal::count(statement).max(in_fields).max(types.len());
        if count > MOST_PARAMS {
            return Err(Fault::new("54000", format!("a statement has at most {MOST_PARAMS} parameters")));
        }
        types.resize(count, 0);
        types.iter_mut().filter(|t| **t == 0).for_each(|t| *t = pg::TEXT);
        let sort = sort(statement)?;
        Ok(Prepared { pairs, statement: statement.to_owned(), types, sort, key_spent: Cell::new(false) })
    }

    fn size(&self) -> usize {
        self.statement.len() + self.pairs.iter().map(|p| p.0.len() + p.1.len()).sum::<usize>()
    }

    fn bind(
        self: &Rc<Self>,
        formats: &[u16],
        values: &[Option<&[u8]>],
        results: Vec<u16>,
    ) -> Result<Portal, Fault> {
        let wrong = |name: &str, has: usize, wants: usize| {
            Fault::from(Malformed(format!("field {name} is {has}, but the statement wants {wants}")))
        };
        if values.len() != self.types.len() {
            return Err(wrong("parameter count", values.len(), self.types.len()));
        }
        if formats.len() > 1 && formats.len() != values.len() {
            return Err(wrong("parameter format count", formats.len(), values.len()));
        }
        if results.len() > 1 && results.len() != answer::COLUMNS {
            return Err(wrong("result format count", results.len(), answer::COLUMNS));
        }
        let mut params = Vec::with_capacity(values.len());
        for (i, (value, kind)) in values.iter().zip(&self.types).enumerate() {
            let format = formats.get(i).or(formats.first()).copied().unwrap_or(0);
            params.push(literal::param(i + 1, *kind, format, *value)?);
        }
        let statement = literal::expand(&self.statement, &params, MAX_STATEMENT_BYTES)?;
        let pairs: Vec<_> = self.pairs.iter().map(|(n, v)| (n.clone(), bound(v, &params))).collect();
        let portal =
            Portal { prepared: Rc::clone(self), pairs, statement, formats: results, stage: Stage::Ready };
        portal.fields()?;
        Ok(portal)
    }
}

/// A field's value: as written, or as bound.
fn bound(value: &str, params: &[Param]) -> Option<String> {
    match value.strip_prefix('$').and_then(|n| n.parse::<usize>().ok()) {
        Some(n) => params.get(n.wrapping_sub(1)).and_then(|p| p.plain.clone()),
        None => Some(value.to_owned()),
    }
}

impl Portal {
    fn fields(&self) -> Result<fields::Fields, Fault> {
        let said = self.pairs.iter().filter_map(|(n, v)| Some((n.as_str(), v.as_deref()?)));
        let mut f = fields::read(said).map_err(Fault::from)?;
        let written = self.prepared.pairs.iter().any(|(n, v)| n == "opkey" && !v.starts_with('$'));
        // Guards against loads that engines drop as repeats of the first one's key.
        if written && self.prepared.key_spent.get() {
            f.opkey = None;
        }
        Ok(f)
    }
    fn size(&self) -> usize {
        self.statement.len()
    }
}

/// A name as messages show it: no longer than a line.
fn short(name: &str) -> String {
    let head: String = name.chars().take(64).collect();
    format!("{head:?}")
}

impl Names {
    /// Nothing yet, in a session with this time-out.
    pub(super) fn new(statement_timeout: Option<u64>) -> Names {
        Names { statement_timeout, ..Names::default() }
    }

    fn held(&self) -> usize {
        let statements = self.statements.values().map(|s| s.size());
        statements.chain(self.portals.values().map(Portal::size)).sum()
    }

    fn room(&self, names: usize, more: usize) -> Result<(), Fault> {
        if names >= MOST_NAMES || self.held() + more > MOST_HELD {
            let fault = Fault::new("53200", "this session holds too many statements and portals");
            return Err(fault.hint("Close some, or use the unnamed ones."));
        }
        Ok(())
    }

    fn parse(&mut self, name: &str, sql: &str, types: Vec<u32>) -> Result<(), Fault> {
        if !name.is_empty() && self.statements.contains_key(name) {
            return Err(Fault::new("42P05", format!("statement {} exists already", short(name))));
        }
        self.statements.remove(name);
        let prepared = Prepared::new(sql, types)?;
        self.room(self.statements.len(), prepared.size())?;
        self.statements.insert(name.to_owned(), Rc::new(prepared));
        Ok(())
    }

    fn statement(&self, name: &str) -> Result<&Rc<Prepared>, Fault> {
        self.statements
            .get(name)
            .ok_or_else(|| Fault::new("26000", format!("there is no statement {}", short(name))))
    }

    fn portal(&self, name: &str) -> Result<&Portal, Fault> {
        self.portals
            .get(name)
            .ok_or_else(|| Fault::new("34000", format!("there is no portal {}", short(name))))
    }

    fn bind(&mut self, name: &str, portal: Portal) -> Result<(), Fault> {
        if !name.is_empty() && self.portals.contains_key(name) {
            return Err(Fault::new("42P03", format!("portal {} exists already", short(name))));
        }
        self.portals.remove(name);
        self.room(self.portals.len(), portal.size())?;
        self.portals.insert(name.to_owned(), portal);
        Ok(())
    }

    /// A simple query ends the unnamed statement and portal.
    pub(super) fn simple(&mut self) {
        self.statements.remove("");
        self.portals.remove("");
    }

    fn describe(&self, out: &mut Vec<u8>, kind: Kind, name: &str) -> Result<(), Fault> {
        let (sort, formats) = match kind {
            Kind::Statement => {
                let s = self.statement(name)?;
                pg::parameter_description(out, &s.types);
                (&s.sort, &[][..])
            }
            Kind::Portal => {
                let p = self.portal(name)?;
                (&p.prepared.sort, &p.formats[..])
            }
        };
        if *sort == Sort::Request {
            pg::row_description(out, answer::COLUMNS, formats);
        } else {
            pg::bare(out, pg::NO_DATA);
        }
        Ok(())
    }
}

/// What a message leaves to do.
pub enum Todo {
    /// Nothing.
    Done,
    /// Run this portal, for at most so many rows.
    Execute(String, u32),
}

impl Session<'_> {
    /// Takes a message of an extended query; what needs an engine is left to do.
    pub(super) fn extended(&mut self, out: &mut Vec<u8>, message: Message) -> Result<Todo, Fault> {
        let names = &mut self.names;
        match message {
            Message::Parse { name, sql, types } => {
                names.parse(name, sql, types)?;
                pg::bare(out, pg::PARSE_COMPLETE);
            }
            Message::Bind { portal, statement, formats, values, results } => {
                let bound = names.statement(statement)?.bind(&formats, &values, results)?;
                names.bind(portal, bound)?;
                pg::bare(out, pg::BIND_COMPLETE);
            }
            Message::Describe(kind, name) => names.describe(out, kind, name)?,
            Message::Close(kind, name) => {
                match kind {
                    // Its portals go with it, as the protocol says.
                    Kind::Statement => {
                        if let Some(closed) = names.statements.remove(name) {
                            names.portals.retain(|_, p| !Rc::ptr_eq(&p.prepared, &closed));
                        }
                    }
                    Kind::Portal => drop(names.portals.remove(name)),
                }
                pg::bare(out, pg::CLOSE_COMPLETE);
            }
            Message::Execute { portal, rows } => {
                names.portal(portal)?;
                return Ok(Todo::Execute(portal.to_owned(), rows));
            }
            Message::Copy => return Err(Fault::new("0A000", "COPY is not supported")),
            Message::FunctionCall => return Err(Fault::new("0A000", "function calls are not supported")),
            Message::Password => {
                return Err(Fault::new("08P01", "field type is out of place: no password was asked for"))
            }
            Message::Query(_) | Message::Flush | Message::Sync | Message::Terminate => {}
        }
        Ok(Todo::Done)
    }

    /// Answers an Execute; false where the client has gone.
    pub(super) async fn execute<S: AsyncRead + AsyncWrite + Unpin>(
        &mut self,
        wire: &mut Wire<S>,
        name: &str,
        most: u32,
    ) -> io::Result<Result<bool, Fault>> {
        let Some(portal) = self.names.portals.get_mut(name) else { return Ok(Ok(true)) };
        match &portal.prepared.sort {
            Sort::Empty => {
                pg::bare(wire.output(), pg::EMPTY_QUERY);
                return Ok(Ok(true));
            }
            Sort::Set(timeout) => {
                if let Some(timeout) = timeout {
                    self.names.statement_timeout = *timeout;
                }
                pg::command_complete(wire.output(), "SET");
                return Ok(Ok(true));
            }
            Sort::Request => {}
        }
        let cancelled = self.cancel.take();
        let (result, place) = match std::mem::replace(&mut portal.stage, Stage::Done) {
            // One that came earlier in the batch ends the batch here.
            stage @ Stage::Suspended(..) if cancelled => {
                portal.stage = stage;
                return Ok(Err(answer::cancelled()));
            }
            Stage::Suspended(result, place) => (result, place),
            Stage::Done => {
                pg::command_complete(wire.output(), "SELECT 0");
                return Ok(Ok(true));
            }
            Stage::Ready => {
                // Until it is served it may be executed again: a repeat of what was refused.
                portal.stage = Stage::Ready;
                let f = match portal.fields() {
                    Ok(f) => f,
                    Err(fault) => return Ok(Err(fault)),
                };
                // A client that says how long it waits counts from its sending; else the time
                // runs from the start of this one, whatever stood before it in the batch.
                let from = if f.timeout_ms.is_some() { wire.arrived() } else { now() };
                if wire.catch_up().await? {
                    return Ok(Ok(self.left(wire)));
                }
                let own = self.names.statement_timeout;
                let ticket = self.front.take(&f, &portal.statement, from, own, cancelled);
                let ticket = match ticket {
                    Ok(ticket) => ticket,
                    Err(fault) => return Ok(Err(fault)),
                };
                match self.wait(wire, ticket).await? {
                    None => return Ok(Ok(false)),
                    Some(Err(fault)) => return Ok(Err(fault)),
                    Some(Ok(result)) => (result, (0, 0)),
                }
            }
        };
        let (n, left) = answer::rows(wire, &result, place, most).await?;
        wire.make_room(64).await?;
        match left {
            None => pg::command_complete(wire.output(), &format!("SELECT {n}")),
            Some(_) => pg::bare(wire.output(), pg::PORTAL_SUSPENDED),
        }
        let suspended = |p: &Portal| matches!(p.stage, Stage::Suspended(..));
        let others = self.names.portals.values().filter(|p| suspended(p)).count();
        if let Some(portal) = self.names.portals.get_mut(name) {
            portal.prepared.key_spent.set(true);
            portal.stage = match left {
                Some(place) if others < MOST_SUSPENDED => Stage::Suspended(result, place),
                Some(_) => {
                    let fault = Fault::new("53200", "too many portals of this session wait to be fetched");
                    portal.stage = Stage::Done;
                    return Ok(Err(fault.hint("Close some, or fetch all rows at once.")));
                }
                None => Stage::Done,
            };
        }
        Ok(Ok(true))
    }

    /// A simple query of the second front that needs no engine; `None` for one that does.
    pub(super) fn simple_here(&mut self, out: &mut Vec<u8>, statement: &str) -> Result<Option<()>, Fault> {
        self.names.simple();
        match sort(statement)? {
            Sort::Set(timeout) => {
                if let Some(timeout) = timeout {
                    self.names.statement_timeout = timeout;
                }
                pg::command_complete(out, "SET");
                Ok(Some(()))
            }
            Sort::Empty => {
                pg::bare(out, pg::EMPTY_QUERY);
                Ok(Some(()))
            }
            Sort::Request => Ok(None),
        }
    }
}
