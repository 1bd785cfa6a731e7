//! Facts of a statement from its syntax tree, which `sqlparser` builds.

use super::function_names::{AGGREGATE_FUNCTIONS, READ_ONLY_FUNCTIONS};
use super::{data_set, StatementFacts, StatementKind, MAX_DEPTH, MAX_NAMES};
use sqlparser::ast::{
    CopySource, Delete, Expr, FromTable, GroupByExpr, Ident, Insert, ObjectName, ObjectNamePart, Query,
    Select, SetExpr, Statement, TableFactor, TableObject, TableWithJoins, Visit, Visitor,
};
use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::parser::Parser;
use std::collections::BTreeSet;
use std::ops::ControlFlow;

/// Minimum number of rows in VALUES for which an INSERT counts as a bulk load.
const MIN_LOAD_ROWS: usize = 100;

/// The facts of a statement; `None` if the parser rejects it, if there is more than one statement, or if it
/// names more than [`MAX_NAMES`] relations.
pub(super) fn parsed_facts(statement: &str) -> Option<StatementFacts> {
    let parser = Parser::new(&PostgreSqlDialect {}).with_recursion_limit(2 * MAX_DEPTH);
    let statements = parser.try_with_sql(statement).ok()?.parse_statements().ok()?;
    let [statement] = &statements[..] else { return None };
    let mut visitor = FactsVisitor::default();
    visitor.facts.is_complete = true;
    visitor.facts.kind = statement_kind(statement);
    // The visitor always visits the whole tree, so the result is of no use.
    let _ = statement.visit(&mut visitor);
    visitor.finish()
}

fn statement_kind(statement: &Statement) -> StatementKind {
    match statement {
        Statement::Query(query) => match &*query.body {
            SetExpr::Insert(inner)
            | SetExpr::Update(inner)
            | SetExpr::Delete(inner)
            | SetExpr::Merge(inner) => statement_kind(inner),
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
        Statement::Explain { statement, .. } => statement_kind(statement),
        _ => StatementKind::Unknown,
    }
}

/// Collects facts from the syntax tree of a statement.
#[derive(Default)]
struct FactsVisitor {
    facts: StatementFacts,
    /// Names of all relations in the statement.
    relations: BTreeSet<String>,
    /// Names of the relations that the statement writes.
    written: BTreeSet<String>,
    /// Names in FROM lists that do not belong to tables: common table expressions and functions.
    not_tables: BTreeSet<String>,
    /// Names of the functions that are not known to be read-only.
    calls: BTreeSet<String>,
}

/// An identifier as PostgreSQL resolves it: in lower case unless it is quoted.
fn resolved_identifier(identifier: &Ident) -> String {
    if identifier.quote_style.is_some() {
        identifier.value.clone()
    } else {
        identifier.value.to_lowercase()
    }
}

/// A name with its qualifiers, joined by dots.
fn full_name(name: &ObjectName) -> String {
    let part_text =
        |part: &ObjectNamePart| part.as_ident().map_or_else(|| part.to_string(), resolved_identifier);
    name.0.iter().map(part_text).collect::<Vec<_>>().join(".")
}

/// The data set of a table, from the name of its schema.
fn data_set_of(table: &str) -> Option<u64> {
    let (schema_path, _) = table.rsplit_once('.')?;
    schema_path.rsplit('.').next().and_then(data_set)
}

impl FactsVisitor {
    fn add_written(&mut self, table: &ObjectName) {
        self.facts.may_write = true;
        self.written.insert(full_name(table));
    }

    fn add_written_relation(&mut self, table: &TableWithJoins) {
        self.facts.may_write = true;
        if let TableFactor::Table { name, .. } = &table.relation {
            self.add_written(name);
        }
    }

    fn add_joins(&mut self, tables: &[TableWithJoins]) {
        let explicit_joins: usize = tables.iter().map(|table| table.joins.len()).sum();
        let comma_joins = tables.len().saturating_sub(1);
        self.facts.joins += (explicit_joins + comma_joins) as u32;
    }

    fn add_call(&mut self, function: String) {
        let unqualified = function.strip_prefix("pg_catalog.").unwrap_or(&function);
        if !READ_ONLY_FUNCTIONS.contains(&unqualified) && self.calls.len() < MAX_NAMES {
            self.calls.insert(function);
        }
    }

    fn add_insert(&mut self, insert: &Insert) {
        if let TableObject::TableName(table) = &insert.table {
            self.add_written(table);
        }
        self.facts.may_write = true;
        if let Some(source) = &insert.source {
            self.facts.may_load |= match &*source.body {
                SetExpr::Values(values) => values.rows.len() >= MIN_LOAD_ROWS,
                _ => true,
            };
        }
    }

    fn add_delete(&mut self, delete: &Delete) {
        for table in &delete.tables {
            self.add_written(table);
        }
        let (FromTable::WithFromKeyword(from) | FromTable::WithoutKeyword(from)) = &delete.from;
        if delete.tables.is_empty() {
            for table in from {
                self.add_written_relation(table);
            }
        }
    }

    /// Adds a COPY: COPY ... TO only reads the table, COPY ... FROM writes it in bulk.
    fn add_copy(&mut self, source: &CopySource, reads_table: bool) {
        if let CopySource::Table { table_name, .. } = source {
            self.relations.insert(full_name(table_name));
            if !reads_table {
                self.add_written(table_name);
            }
        }
        self.facts.may_write |= !reads_table;
        self.facts.may_load |= !reads_table;
    }

    /// Adds a change of a table, view or index. Every relation that was visited so far counts as written.
    fn add_schema_change(&mut self) {
        self.facts.may_write = true;
        self.facts.takes_locks = true;
        self.facts.may_load = true;
        self.written.extend(self.relations.iter().cloned());
    }

    /// The collected facts; `None` if there are more than [`MAX_NAMES`] relations.
    fn finish(mut self) -> Option<StatementFacts> {
        let is_table = |name: &&String| !self.not_tables.contains(*name);
        let writes: Vec<String> = self.written.iter().filter(is_table).cloned().collect();
        let tables = self.relations.iter().filter(is_table);
        let reads: Vec<String> = tables.filter(|name| !self.written.contains(*name)).cloned().collect();
        if reads.len() + writes.len() > MAX_NAMES {
            return None;
        }
        let data_sets: BTreeSet<u64> =
            reads.iter().chain(&writes).filter_map(|table| data_set_of(table)).collect();
        let is_unknown = self.facts.kind == StatementKind::Unknown;
        self.facts.data_sets = data_sets.into_iter().collect();
        self.facts.reads = reads;
        self.facts.writes = writes;
        self.facts.calls = self.calls.into_iter().collect();
        self.facts.may_write |= !self.facts.calls.is_empty() || is_unknown;
        self.facts.may_load |= is_unknown;
        self.facts.is_complete &= !is_unknown;
        Some(self.facts)
    }
}

impl Visitor for FactsVisitor {
    type Break = ();

    fn pre_visit_relation(&mut self, relation: &ObjectName) -> ControlFlow<()> {
        self.relations.insert(full_name(relation));
        ControlFlow::Continue(())
    }

    fn pre_visit_statement(&mut self, statement: &Statement) -> ControlFlow<()> {
        match statement {
            Statement::Insert(insert) => self.add_insert(insert),
            Statement::Update(update) => {
                self.add_written_relation(&update.table);
                self.facts.joins += update.table.joins.len() as u32;
            }
            Statement::Delete(delete) => self.add_delete(delete),
            Statement::Merge(merge) => {
                self.facts.may_write = true;
                self.facts.may_load = true;
                if let TableFactor::Table { name, .. } = &merge.table {
                    self.add_written(name);
                }
            }
            Statement::Copy { source, to, .. } => self.add_copy(source, *to),
            Statement::Truncate(truncate) => {
                self.facts.may_write = true;
                self.facts.may_load = true;
                self.facts.takes_locks = true;
                for table in &truncate.table_names {
                    self.add_written(&table.name);
                }
            }
            Statement::CreateTable(create) => {
                self.add_written(&create.name);
                self.facts.may_load |= create.query.is_some();
            }
            Statement::CreateView(_) | Statement::CreateIndex(_) | Statement::AlterTable(_) => {
                self.add_schema_change();
            }
            Statement::Drop { names, .. } => {
                self.facts.may_write = true;
                self.facts.takes_locks = true;
                for name in names {
                    self.add_written(name);
                }
            }
            _ => {}
        }
        ControlFlow::Continue(())
    }

    fn pre_visit_query(&mut self, query: &Query) -> ControlFlow<()> {
        let facts = &mut self.facts;
        facts.takes_locks |= !query.locks.is_empty();
        facts.sorts |= query.order_by.is_some();
        facts.has_limit |= query.limit_clause.is_some() || query.fetch.is_some();
        for cte in query.with.iter().flat_map(|with| &with.cte_tables) {
            self.not_tables.insert(resolved_identifier(&cte.alias.name));
        }
        ControlFlow::Continue(())
    }

    fn pre_visit_select(&mut self, select: &Select) -> ControlFlow<()> {
        self.add_joins(&select.from);
        let is_grouped = match &select.group_by {
            GroupByExpr::All(_) => true,
            GroupByExpr::Expressions(expressions, modifiers) => {
                !expressions.is_empty() || !modifiers.is_empty()
            }
        };
        self.facts.aggregates |= is_grouped || select.distinct.is_some();
        if let Some(into) = &select.into {
            // The parser represents the target tables as expressions: names, with or without qualifiers.
            let target_name = |target: &Expr| target.to_string().to_lowercase();
            self.written.extend(into.targets.iter().map(target_name));
            self.facts.may_write = true;
            self.facts.may_load = true;
        }
        ControlFlow::Continue(())
    }

    fn pre_visit_table_factor(&mut self, factor: &TableFactor) -> ControlFlow<()> {
        if let TableFactor::Function { name, .. } | TableFactor::Table { name, args: Some(_), .. } = factor {
            let function = full_name(name);
            self.not_tables.insert(function.clone());
            self.add_call(function);
        }
        ControlFlow::Continue(())
    }

    fn pre_visit_expr(&mut self, expr: &Expr) -> ControlFlow<()> {
        if let Expr::Function(call) = expr {
            let function = full_name(&call.name);
            self.facts.aggregates |= call.over.is_none() && AGGREGATE_FUNCTIONS.contains(&function.as_str());
            self.add_call(function);
        }
        ControlFlow::Continue(())
    }
}
