//! What is known of a statement. The parser of a library reads it, within bounds; what it cannot read whole is
//! *unknown*, with what the lexer is certain of, and unknown is always the careful side: it may write, it may load.

use crate::lex::{tokens, Token, TokenKind};
use crate::normal::{plain_name, BEFORE_TABLE};
use serde::Serialize;
use sqlparser::ast::{
    CopySource, Expr, FromTable, GroupByExpr, ObjectName, Query, Select, Statement, TableFactor, TableObject,
    TableWithJoins, Visit, Visitor,
};
use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::parser::Parser;
use std::collections::BTreeSet;
use std::ops::ControlFlow;

/// Longest text that the parser is given, in bytes. Longer ones are long lists of values, most likely.
pub const MAX_PARSED_BYTES: usize = 16 * 1024;
/// Maximum tokens of it. A chain such as `1+1+1` makes a tree half as deep, which is walked by recursion.
pub const MAX_PARSED_TOKENS: usize = 2_000;
/// Deepest nesting that the parser follows; PostgreSQL's clients nest a dozen deep.
const MAX_DEPTH: usize = 48;
/// Data sets and relations that are told of one statement; of more, it is unknown.
const MAX_NAMES: usize = 64;

/// What kind of statement it is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StatementKind {
    /// Reads rows.
    Select,
    /// Puts rows in.
    Insert,
    /// Changes rows.
    Update,
    /// Takes rows out.
    Delete,
    /// Any of the three, row by row.
    Merge,
    /// Moves rows in bulk.
    Copy,
    /// Changes tables.
    Ddl,
    /// Sets, shows, explains: touches no rows.
    Utility,
    /// It was not read whole.
    #[default]
    Unknown,
}

/// What is known of a statement.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct StatementFacts {
    /// What it is.
    pub kind: StatementKind,
    /// It was read whole; else all else here is what is certain, and there may be more.
    pub whole: bool,
    /// Tables that it reads, `schema.table`, sorted.
    pub reads: Vec<String>,
    /// Tables that it writes.
    pub writes: Vec<String>,
    /// Data sets that it names: numbers of schemas such as `rates_17`, sorted.
    pub data_sets: Vec<u64>,
    /// It changes rows or tables, or may.
    pub may_write: bool,
    /// It takes locks on rows or tables.
    pub locks: bool,
    /// It writes in bulk, or may: INSERT ... SELECT, many rows, COPY, MERGE, CREATE TABLE AS, TRUNCATE.
    pub load: bool,
    /// Functions that it calls which are not known to write nothing.
    pub calls: Vec<String>,
    /// Joins, also by commas.
    pub joins: u32,
    /// It groups or aggregates.
    pub aggregates: bool,
    /// It sorts.
    pub sorts: bool,
    /// It says how many rows at most.
    pub limit: bool,
}

/// Functions of PostgreSQL that write nothing, by the beginnings or whole of their names.
const PURE: &[&str] = &[
    "abs",
    "array_agg",
    "array_length",
    "avg",
    "bool_and",
    "bool_or",
    "btrim",
    "cardinality",
    "ceil",
    "ceiling",
    "char_length",
    "coalesce",
    "concat",
    "concat_ws",
    "corr",
    "count",
    "cume_dist",
    "current_database",
    "current_date",
    "current_schema",
    "current_time",
    "current_timestamp",
    "current_user",
    "date_part",
    "date_trunc",
    "dense_rank",
    "every",
    "exp",
    "extract",
    "first_value",
    "floor",
    "format",
    "generate_series",
    "greatest",
    "initcap",
    "json_agg",
    "jsonb_agg",
    "lag",
    "last_value",
    "lead",
    "least",
    "left",
    "length",
    "ln",
    "localtime",
    "localtimestamp",
    "log",
    "lower",
    "lpad",
    "ltrim",
    "make_date",
    "max",
    "md5",
    "min",
    "mod",
    "now",
    "nth_value",
    "ntile",
    "nullif",
    "octet_length",
    "overlay",
    "percent_rank",
    "percentile_cont",
    "percentile_disc",
    "position",
    "power",
    "rank",
    "regexp_match",
    "regexp_replace",
    "repeat",
    "replace",
    "reverse",
    "right",
    "round",
    "row_number",
    "row_to_json",
    "rpad",
    "rtrim",
    "session_user",
    "sign",
    "split_part",
    "sqrt",
    "stddev",
    "stddev_pop",
    "stddev_samp",
    "string_agg",
    "strpos",
    "substr",
    "substring",
    "sum",
    "to_char",
    "to_date",
    "to_json",
    "to_jsonb",
    "to_number",
    "to_timestamp",
    "trim",
    "trunc",
    "unnest",
    "upper",
    "user",
    "var_pop",
    "var_samp",
    "variance",
    "version",
    "width_bucket",
];
/// Functions that aggregate.
const AGGREGATES: &[&str] = &[
    "array_agg",
    "avg",
    "bool_and",
    "bool_or",
    "corr",
    "count",
    "every",
    "json_agg",
    "jsonb_agg",
    "max",
    "min",
    "percentile_cont",
    "percentile_disc",
    "stddev",
    "stddev_pop",
    "stddev_samp",
    "string_agg",
    "sum",
    "var_pop",
    "var_samp",
    "variance",
];
/// Rows of VALUES from which an INSERT counts as a load.
const LOAD_ROWS: usize = 100;

/// The data set of a schema: the number behind its last underscore; none of `staging`.
pub fn data_set(schema: &str) -> Option<u64> {
    let (name, digits) = schema.rsplit_once('_')?;
    let legal = !digits.is_empty() && digits.bytes().all(|b| b.is_ascii_digit());
    if !legal || name.eq_ignore_ascii_case("staging") || name.is_empty() {
        return None;
    }
    digits.parse().ok()
}

/// Reads a statement: whole where it can be, else what is certain.
pub fn read(statement: &str) -> StatementFacts {
    let mut lexed = Vec::new();
    let bounded = statement.len() <= MAX_PARSED_BYTES && tokens(statement, MAX_PARSED_TOKENS, &mut lexed);
    let parsed = if bounded && !deep(statement, &lexed) { parse(&plain(statement, &lexed)) } else { None };
    parsed.unwrap_or_else(|| certain(statement))
}

/// The statement without comments, and with a plain space for whatever space there was: parsers know fewer of them.
fn plain(statement: &str, lexed: &[Token]) -> String {
    let mut out = String::with_capacity(statement.len());
    let mut end = 0;
    for t in lexed {
        if t.at > end && !out.is_empty() {
            out.push(' ');
        }
        out.push_str(&statement[t.at..t.end]);
        end = t.end;
    }
    out
}

/// Whether brackets and CASE nest deeper than the parser is let go, told without recursion.
fn deep(statement: &str, lexed: &[Token]) -> bool {
    let (mut depth, mut most) = (0_usize, 0);
    for t in lexed {
        let text = &statement[t.at..t.end];
        match t.kind {
            TokenKind::Mark if matches!(text, "(" | "[") => depth += 1,
            TokenKind::Mark if matches!(text, ")" | "]") => depth = depth.saturating_sub(1),
            TokenKind::Word if text.eq_ignore_ascii_case("case") => depth += 1,
            TokenKind::Word if text.eq_ignore_ascii_case("end") => depth = depth.saturating_sub(1),
            _ => {}
        }
        most = most.max(depth);
    }
    most > MAX_DEPTH
}

fn parse(statement: &str) -> Option<StatementFacts> {
    let parser = Parser::new(&PostgreSqlDialect {}).with_recursion_limit(2 * MAX_DEPTH);
    let all = parser.try_with_sql(statement).ok()?.parse_statements().ok()?;
    let [one] = &all[..] else { return None };
    let mut reader = FactsVisitor::default();
    reader.facts.whole = true;
    reader.facts.kind = kind(one);
    // Never broken off.
    let _ = one.visit(&mut reader);
    reader.finish()
}

fn kind(statement: &Statement) -> StatementKind {
    match statement {
        Statement::Query(q) => match &*q.body {
            sqlparser::ast::SetExpr::Insert(s)
            | sqlparser::ast::SetExpr::Update(s)
            | sqlparser::ast::SetExpr::Delete(s)
            | sqlparser::ast::SetExpr::Merge(s) => kind(s),
            _ => StatementKind::Select,
        },
        Statement::Insert(_) => StatementKind::Insert,
        Statement::Update(_) => StatementKind::Update,
        Statement::Delete(_) => StatementKind::Delete,
        Statement::Merge(_) => StatementKind::Merge,
        Statement::Copy { .. } => StatementKind::Copy,
        Statement::Truncate(_)
        | Statement::CreateTable(_)
        | Statement::CreateView(_)
        | Statement::CreateIndex(_)
        | Statement::AlterTable(_)
        | Statement::Drop { .. } => StatementKind::Ddl,
        Statement::ShowVariable { .. } | Statement::ShowTables { .. } | Statement::Set(_) => {
            StatementKind::Utility
        }
        Statement::Explain { analyze: false, .. } => StatementKind::Utility,
        Statement::Explain { statement, .. } => kind(statement),
        _ => StatementKind::Unknown,
    }
}

/// Walks a statement's tree.
#[derive(Default)]
struct FactsVisitor {
    facts: StatementFacts,
    names: BTreeSet<String>,
    writes: BTreeSet<String>,
    ctes: BTreeSet<String>,
    calls: BTreeSet<String>,
}

fn name(of: &ObjectName) -> String {
    let part = |p: &sqlparser::ast::ObjectNamePart| match p.as_ident() {
        Some(i) if i.quote_style.is_some() => i.value.clone(),
        Some(i) => i.value.to_lowercase(),
        None => p.to_string(),
    };
    of.0.iter().map(part).collect::<Vec<_>>().join(".")
}

impl FactsVisitor {
    fn wrote(&mut self, of: &ObjectName) {
        self.facts.may_write = true;
        self.writes.insert(name(of));
    }
    fn wrote_in(&mut self, table: &TableWithJoins) {
        self.facts.may_write = true;
        if let TableFactor::Table { name: n, .. } = &table.relation {
            self.wrote(n);
        }
    }
    fn joined(&mut self, tables: &[TableWithJoins]) {
        let joins = tables.iter().map(|t| t.joins.len()).sum::<usize>() + tables.len().saturating_sub(1);
        self.facts.joins += joins as u32;
    }

    /// The facts; none where there are more names than are told.
    fn finish(mut self) -> Option<StatementFacts> {
        let real = |n: &&String| !self.ctes.contains(*n);
        let writes: Vec<String> = self.writes.iter().filter(real).cloned().collect();
        let reads: Vec<String> =
            self.names.iter().filter(real).filter(|n| !self.writes.contains(*n)).cloned().collect();
        if reads.len() + writes.len() > MAX_NAMES {
            return None;
        }
        let schema = |n: &String| {
            let mut parts = n.rsplit('.');
            parts.next();
            parts.next().and_then(data_set)
        };
        let sets: BTreeSet<u64> = reads.iter().chain(&writes).filter_map(schema).collect();
        self.facts.data_sets = sets.into_iter().collect();
        (self.facts.reads, self.facts.writes) = (reads, writes);
        self.facts.calls = self.calls.into_iter().collect();
        self.facts.may_write |= !self.facts.calls.is_empty() || self.facts.kind == StatementKind::Unknown;
        self.facts.load |= self.facts.kind == StatementKind::Unknown;
        self.facts.whole &= self.facts.kind != StatementKind::Unknown;
        Some(self.facts)
    }
}

impl Visitor for FactsVisitor {
    type Break = ();

    fn pre_visit_relation(&mut self, relation: &ObjectName) -> ControlFlow<()> {
        self.names.insert(name(relation));
        ControlFlow::Continue(())
    }

    fn pre_visit_statement(&mut self, statement: &Statement) -> ControlFlow<()> {
        match statement {
            Statement::Insert(i) => {
                if let TableObject::TableName(n) = &i.table {
                    self.wrote(n);
                }
                self.facts.may_write = true;
                if let Some(source) = &i.source {
                    self.facts.load |= match &*source.body {
                        sqlparser::ast::SetExpr::Values(v) => v.rows.len() >= LOAD_ROWS,
                        _ => true,
                    };
                }
            }
            Statement::Update(u) => {
                self.wrote_in(&u.table);
                self.facts.joins += u.table.joins.len() as u32;
            }
            Statement::Delete(d) => {
                d.tables.iter().for_each(|n| self.wrote(n));
                let (FromTable::WithFromKeyword(from) | FromTable::WithoutKeyword(from)) = &d.from;
                if d.tables.is_empty() {
                    from.iter().for_each(|t| self.wrote_in(t));
                }
            }
            Statement::Merge(m) => {
                (self.facts.may_write, self.facts.load) = (true, true);
                if let TableFactor::Table { name: n, .. } = &m.table {
                    self.wrote(n);
                }
            }
            Statement::Copy { source, to, .. } => {
                if let CopySource::Table { table_name, .. } = source {
                    self.names.insert(name(table_name));
                    if !to {
                        self.wrote(table_name);
                    }
                }
                self.facts.may_write |= !to;
                self.facts.load |= !to;
            }
            Statement::Truncate(t) => {
                (self.facts.may_write, self.facts.load, self.facts.locks) = (true, true, true);
                t.table_names.iter().for_each(|t| self.wrote(&t.name));
            }
            Statement::CreateTable(t) => {
                self.wrote(&t.name);
                self.facts.load |= t.query.is_some();
            }
            Statement::CreateView(_) | Statement::CreateIndex(_) | Statement::AlterTable(_) => {
                (self.facts.may_write, self.facts.locks, self.facts.load) = (true, true, true);
                let all: Vec<String> = self.names.iter().cloned().collect();
                self.writes.extend(all);
            }
            Statement::Drop { names, .. } => {
                (self.facts.may_write, self.facts.locks) = (true, true);
                names.iter().for_each(|n| self.wrote(n));
            }
            _ => {}
        }
        ControlFlow::Continue(())
    }

    fn pre_visit_query(&mut self, query: &Query) -> ControlFlow<()> {
        let facts = &mut self.facts;
        facts.locks |= !query.locks.is_empty();
        facts.sorts |= query.order_by.is_some();
        facts.limit |= query.limit_clause.is_some() || query.fetch.is_some();
        for cte in query.with.iter().flat_map(|w| &w.cte_tables) {
            let alias = &cte.alias.name;
            self.ctes.insert(if alias.quote_style.is_some() {
                alias.value.clone()
            } else {
                alias.value.to_lowercase()
            });
        }
        ControlFlow::Continue(())
    }

    fn pre_visit_select(&mut self, select: &Select) -> ControlFlow<()> {
        self.joined(&select.from);
        let grouped = match &select.group_by {
            GroupByExpr::All(_) => true,
            GroupByExpr::Expressions(e, m) => !e.is_empty() || !m.is_empty(),
        };
        self.facts.aggregates |= grouped || select.distinct.is_some();
        if let Some(into) = &select.into {
            // Targets are expressions there: a name, or a compound one.
            let plain = |e: &Expr| e.to_string().to_lowercase();
            self.writes.extend(into.targets.iter().map(plain));
            (self.facts.may_write, self.facts.load) = (true, true);
        }
        ControlFlow::Continue(())
    }

    fn pre_visit_table_factor(&mut self, factor: &TableFactor) -> ControlFlow<()> {
        if let TableFactor::Function { name: n, .. } | TableFactor::Table { name: n, args: Some(_), .. } =
            factor
        {
            // A function in a FROM list is no table.
            let called = name(n);
            self.ctes.insert(called.clone());
            self.call(called);
        }
        ControlFlow::Continue(())
    }

    fn pre_visit_expr(&mut self, expr: &Expr) -> ControlFlow<()> {
        if let Expr::Function(f) = expr {
            let called = name(&f.name);
            self.facts.aggregates |= f.over.is_none() && AGGREGATES.contains(&called.as_str());
            self.call(called);
        }
        ControlFlow::Continue(())
    }
}

impl FactsVisitor {
    fn call(&mut self, called: String) {
        let bare = called.strip_prefix("pg_catalog.").unwrap_or(&called);
        if !PURE.contains(&bare) && self.calls.len() < MAX_NAMES {
            self.calls.insert(called);
        }
    }
}

/// What is certain of a statement that was not read whole, by the lexer alone: data sets named behind the words that
/// name tables, or anywhere, and that it may do anything.
fn certain(statement: &str) -> StatementFacts {
    let mut lexed = Vec::new();
    // Of what is longer, the head is certain.
    tokens(statement, 8 * MAX_PARSED_TOKENS, &mut lexed);
    let mut facts = StatementFacts { may_write: true, load: true, ..StatementFacts::default() };
    let sets: BTreeSet<u64> =
        named(statement, &lexed).into_iter().filter_map(|(schema, _)| data_set(&schema)).collect();
    facts.data_sets = sets.into_iter().take(MAX_NAMES).collect();
    for (i, t) in lexed.iter().enumerate() {
        let text = &statement[t.at..t.end];
        if t.kind != TokenKind::Word {
            continue;
        }
        let next = lexed.get(i + 1).map_or("", |n| &statement[n.at..n.end]);
        match text.to_ascii_lowercase().as_str() {
            "join" => facts.joins += 1,
            "order" if next.eq_ignore_ascii_case("by") => facts.sorts = true,
            "group" if next.eq_ignore_ascii_case("by") => facts.aggregates = true,
            "limit" | "fetch" => facts.limit = true,
            "for" if next.eq_ignore_ascii_case("update") || next.eq_ignore_ascii_case("share") => {
                facts.locks = true
            }
            _ => {}
        }
    }
    facts
}

/// Schemas and tables that a statement names behind FROM, JOIN, INTO and the like, by the lexer alone.
pub fn named(statement: &str, lexed: &[Token]) -> Vec<(String, String)> {
    let text = |t: &Token| &statement[t.at..t.end];
    let is_name = |t: &Token| matches!(t.kind, TokenKind::Word | TokenKind::Quoted);
    let mut all = Vec::new();
    let mut lists = vec![false];
    let mut i = 0;
    while i < lexed.len() {
        let t = &lexed[i];
        match t.kind {
            TokenKind::Mark if text(t) == "(" => lists.push(*lists.last().unwrap_or(&false)),
            TokenKind::Mark if text(t) == ")" && lists.len() > 1 => drop(lists.pop()),
            TokenKind::Word => {
                let word = text(t).to_ascii_lowercase();
                if let Some(last) = lists.last_mut() {
                    if BEFORE_TABLE.contains(&word.as_str()) || matches!(word.as_str(), "copy" | "truncate") {
                        *last = true;
                    } else if matches!(
                        word.as_str(),
                        "where"
                            | "group"
                            | "order"
                            | "having"
                            | "set"
                            | "values"
                            | "select"
                            | "on"
                            | "limit"
                            | "returning"
                    ) {
                        *last = false;
                    }
                }
            }
            _ => {}
        }
        let before = i.checked_sub(1).map(|k| text(&lexed[k]));
        let starts = before.is_some_and(|b| {
            BEFORE_TABLE.iter().any(|w| w.eq_ignore_ascii_case(b))
                || matches!(b, "," | "(") && *lists.last().unwrap_or(&false)
                || b.eq_ignore_ascii_case("copy")
                || b.eq_ignore_ascii_case("truncate")
        });
        let dotted =
            lexed.get(i + 1).is_some_and(|d| text(d) == ".") && lexed.get(i + 2).is_some_and(is_name);
        if is_name(t) && starts && dotted {
            all.push((plain_name(text(t)), plain_name(text(&lexed[i + 2]))));
            i += 2;
        }
        i += 1;
    }
    all
}
