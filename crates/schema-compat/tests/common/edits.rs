//! Generated schemas, whose fields keep an identity across changes, and random edit scripts that change them.

use proptest::prelude::*;

pub const TYPE_NAMES: [&str; 17] = [
    "int32", "int64", "uint32", "uint64", "sint32", "sint64", "bool", "fixed32", "sfixed32", "fixed64",
    "float", "double", "string", "bytes", "E", "N", "int32",
];

#[derive(Clone, Debug, PartialEq)]
pub struct Field {
    /// Identity of the field, independent of its name and number.
    pub id: u32,
    pub name: String,
    pub number: u32,
    pub type_index: usize,
    /// Index of the label: 0 for implicit presence, 1 for `optional`, 2 for `repeated`.
    pub label: usize,
    pub max: Option<i64>,
    pub former_name: Option<String>,
    pub former_number: Option<u32>,
}

#[derive(Clone, Debug, Default)]
pub struct GeneratedSchema {
    /// Fields of the messages `R` and `N`.
    pub fields: [Vec<Field>; 2],
    /// Declared removed fields of `R` and `N`, each with the value that replaces it.
    pub removed: [Vec<(String, String)>; 2],
    /// Numbers of the enum `E`, each with whether it declares `V0` as its value for readers that do not know
    /// it.
    pub values: Vec<(i32, bool)>,
    /// Removed numbers of `E` that are declared to read as `V0`.
    pub removed_values: Vec<i32>,
    /// The next unused identity, field number and enum number.
    pub next_id: u32,
}

#[derive(Clone, Debug)]
pub enum Edit {
    Add { message_index: usize, type_index: usize, label: usize },
    Remove { message_index: usize, field_index: usize, reads_as: bool },
    Type { message_index: usize, field_index: usize, type_index: usize },
    Renumber { message_index: usize, field_index: usize, declared: bool },
    Rename { message_index: usize, field_index: usize, declared: bool },
    Label { message_index: usize, field_index: usize, label: usize },
    Max { message_index: usize, field_index: usize, max: Option<i64> },
    AddValue { reads_as: bool },
    RemoveValue { reads_as: bool },
}

impl GeneratedSchema {
    #[expect(clippy::too_many_lines, reason = "one scenario, step after step")]
    pub fn apply(&mut self, edit: &Edit) {
        let next_id = self.next_id;
        self.next_id += 1;
        let pick = |fields: &mut Vec<Field>, field_index: usize| {
            (!fields.is_empty()).then(|| field_index % fields.len())
        };
        match *edit {
            Edit::Add { message_index, type_index, label } => self.fields[message_index].push(Field {
                id: next_id,
                name: format!("f{next_id}"),
                number: next_id,
                type_index,
                label,
                max: None,
                former_name: None,
                former_number: None,
            }),
            Edit::Remove { message_index, field_index, reads_as } => {
                if let Some(field_index) = pick(&mut self.fields[message_index], field_index) {
                    let removed = self.fields[message_index].remove(field_index);
                    if reads_as
                        && removed.label < 2
                        && removed.type_index < 12
                        && self.removed[message_index].is_empty()
                    {
                        self.removed[message_index]
                            .push((removed.name, if removed.type_index == 6 { "false" } else { "0" }.into()));
                    }
                }
            }
            Edit::AddValue { reads_as } => self.values.push((next_id as i32, reads_as)),
            Edit::RemoveValue { reads_as } => {
                if self.values.len() > 1 {
                    let (number, _) = self.values.remove(1);
                    if reads_as {
                        self.removed_values.push(number);
                    }
                }
            }
            Edit::Type { message_index, field_index, .. }
            | Edit::Renumber { message_index, field_index, .. }
            | Edit::Rename { message_index, field_index, .. }
            | Edit::Label { message_index, field_index, .. }
            | Edit::Max { message_index, field_index, .. } => {
                let Some(field_index) = pick(&mut self.fields[message_index], field_index) else { return };
                let field = &mut self.fields[message_index][field_index];
                match *edit {
                    Edit::Type { type_index, .. } => (field.type_index, field.max) = (type_index, None),
                    Edit::Renumber { declared, .. } => {
                        field.former_number = declared.then_some(field.number);
                        field.number = next_id;
                    }
                    Edit::Rename { declared, .. } => {
                        field.former_name = declared.then(|| field.name.clone());
                        field.name = format!("f{next_id}");
                    }
                    Edit::Label { label, .. } => field.label = label,
                    Edit::Max { max, .. } if field.type_index < 6 => field.max = max,
                    _ => {}
                }
            }
        }
    }

    /// The body of the `.proto` text.
    pub fn body(&self) -> String {
        let message = |name: &str, message_index: usize| {
            let mut text = format!("message {name} {{\n");
            for (name, reads_as) in &self.removed[message_index] {
                let option = format!("removed: {{ name: \"{name}\" reads_as: \"{reads_as}\" }}");
                text += &format!("option (m) = {{ {option} }};\n");
            }
            for field in &self.fields[message_index] {
                let mut declared = String::new();
                field.max.iter().for_each(|max| declared += &format!("max: {max} "));
                field.former_name.iter().for_each(|name| declared += &format!("former_names: \"{name}\" "));
                field
                    .former_number
                    .iter()
                    .for_each(|number| declared += &format!("former_numbers: {number} "));
                let options =
                    if declared.is_empty() { declared } else { format!(" [(f) = {{ {declared} }}]") };
                let label = ["", "optional ", "repeated "][field.label];
                text += &format!(
                    "{label}{} {} = {}{options};\n",
                    TYPE_NAMES[field.type_index], field.name, field.number
                );
            }
            text + "}\n"
        };
        let mut text = message("R", 0) + &message("N", 1) + "enum E {\n";
        if let Some(number) = self.removed_values.first() {
            text += &format!("option (e) = {{ removed: {{ name: \"V{number}\" reads_as: \"V0\" }} }};\n");
        }
        for (number, reads_as) in &self.values {
            let options = if *reads_as { " [(v).reads_as = \"V0\"]" } else { "" };
            text += &format!("V{number} = {number}{options};\n");
        }
        "message Top { option (m).record = true; R r = 1; N n = 2; }\n".to_string() + &text + "}\n"
    }
}

fn edit() -> impl Strategy<Value = Edit> {
    let (message_index, field_index, type_index, label) =
        (0..2usize, 0..8usize, 0..TYPE_NAMES.len(), 0..3usize);
    prop_oneof![
        1 => (message_index.clone(), type_index.clone(), label.clone())
            .prop_map(|(message_index, type_index, label)| Edit::Add { message_index, type_index, label }),
        1 => (message_index.clone(), field_index.clone(), any::<bool>()).prop_map(
            |(message_index, field_index, reads_as)| Edit::Remove { message_index, field_index, reads_as }
        ),
        3 => (message_index.clone(), field_index.clone(), type_index).prop_map(
            |(message_index, field_index, type_index)| Edit::Type { message_index, field_index, type_index }
        ),
        1 => (message_index.clone(), field_index.clone(), any::<bool>()).prop_map(
            |(message_index, field_index, declared)| Edit::Renumber { message_index, field_index, declared }
        ),
        1 => (message_index.clone(), field_index.clone(), any::<bool>()).prop_map(
            |(message_index, field_index, declared)| Edit::Rename { message_index, field_index, declared }
        ),
        2 => (message_index.clone(), field_index.clone(), label).prop_map(
            |(message_index, field_index, label)| Edit::Label { message_index, field_index, label }
        ),
        1 => (message_index, field_index, proptest::option::of(0..200i64))
            .prop_map(|(message_index, field_index, max)| Edit::Max { message_index, field_index, max }),
        1 => any::<bool>().prop_map(|reads_as| Edit::AddValue { reads_as }),
        1 => any::<bool>().prop_map(|reads_as| Edit::RemoveValue { reads_as }),
    ]
}

/// An old schema and the result of applying a short random script of edits to it.
pub fn pair() -> impl Strategy<Value = (GeneratedSchema, GeneratedSchema)> {
    let add = (0..2usize, 0..TYPE_NAMES.len(), 0..3usize)
        .prop_map(|(message_index, type_index, label)| Edit::Add { message_index, type_index, label });
    let max = (0..2usize, 0..8usize, 0..200i64).prop_map(|(message_index, field_index, max)| Edit::Max {
        message_index,
        field_index,
        max: Some(max),
    });
    let start = proptest::collection::vec(prop_oneof![4 => add, 1 => max], 2..10);
    (start, proptest::collection::vec(edit(), 1..4)).prop_map(|(start, script)| {
        let mut old = GeneratedSchema {
            values: vec![(0, false), (1, false)],
            next_id: 2,
            ..GeneratedSchema::default()
        };
        start.iter().for_each(|edit| old.apply(edit));
        let mut new = old.clone();
        script.iter().for_each(|edit| new.apply(edit));
        (old, new)
    })
}
