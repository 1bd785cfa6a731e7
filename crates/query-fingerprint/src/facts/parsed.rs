//! Facts of a statement from its syntax tree, as the parser of `sqlparser` gives it.

use super::word_lists::{AGGREGATES, PURE};
use super::{data_set, StatementFacts, StatementKind, MAX_DEPTH, MAX_NAMES};
use sqlparser::ast::{
    CopySource, Expr, FromTable, GroupByExpr, ObjectName, Query, Select, Statement, TableFactor, TableObject,
    TableWithJoins, Visit, Visitor,
};
use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::parser::Parser;
use std::collections::BTreeSet;
use std::ops::ControlFlow;

/// Rows of VALUES from which an INSERT counts as a load.
const LOAD_ROWS: usize = 100;

/// The facts of a statement; `None` where the parser rejects it, where there is more than one statement, or where
/// it names more than [`MAX_NAMES`] relations.
pub(super) fn parse(statement: &str) -> Option<StatementFacts> {
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
