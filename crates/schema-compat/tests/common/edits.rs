//! Schemas as lists of fields with an identity of their own, and scripts that edit them.

use proptest::prelude::*;

pub const TYPES: [&str; 17] = [
    "int32", "int64", "uint32", "uint64", "sint32", "sint64", "bool", "fixed32", "sfixed32", "fixed64",
    "float", "double", "string", "bytes", "E", "N", "int32",
];

#[derive(Clone, Debug, PartialEq)]
pub struct Field {
    /// What it is, whatever it is called and numbered.
    pub id: u32,
    pub name: String,
    pub number: u32,
    pub ty: usize,
    /// Implicit, optional, repeated.
    pub label: usize,
    pub max: Option<i64>,
    pub former: Option<String>,
    pub former_number: Option<u32>,
}

#[derive(Clone, Debug, Default)]
pub struct Shape {
    /// R's and N's.
    pub fields: [Vec<Field>; 2],
    pub removed: [Vec<(String, String)>; 2],
    /// Number, and what it reads as for those who do not know it.
    pub values: Vec<(i32, bool)>,
    pub removed_values: Vec<i32>,
    pub next: u32,
}

#[derive(Clone, Debug)]
pub enum Edit {
    Add { at: usize, ty: usize, label: usize },
    Remove { at: usize, which: usize, reads_as: bool },
    Type { at: usize, which: usize, ty: usize },
    Renumber { at: usize, which: usize, declared: bool },
    Rename { at: usize, which: usize, declared: bool },
    Label { at: usize, which: usize, label: usize },
    Max { at: usize, which: usize, max: Option<i64> },
    AddValue { reads_as: bool },
    RemoveValue { reads_as: bool },
}

impl Shape {
    #[expect(clippy::too_many_lines, reason = "one scenario, step after step")]
    pub fn apply(&mut self, edit: &Edit) {
        let next = self.next;
        self.next += 1;
        let pick = |fields: &mut Vec<Field>, which: usize| (!fields.is_empty()).then(|| which % fields.len());
        match *edit {
            Edit::Add { at, ty, label } => self.fields[at].push(Field {
                id: next,
                name: format!("f{next}"),
                number: next,
                ty,
                label,
                max: None,
                former: None,
                former_number: None,
            }),
            Edit::Remove { at, which, reads_as } => {
                if let Some(which) = pick(&mut self.fields[at], which) {
                    let gone = self.fields[at].remove(which);
                    if reads_as && gone.label < 2 && gone.ty < 12 && self.removed[at].is_empty() {
                        self.removed[at].push((gone.name, if gone.ty == 6 { "false" } else { "0" }.into()));
                    }
                }
            }
            Edit::AddValue { reads_as } => self.values.push((next as i32, reads_as)),
            Edit::RemoveValue { reads_as } => {
                if self.values.len() > 1 {
                    let (number, _) = self.values.remove(1);
                    if reads_as {
                        self.removed_values.push(number);
                    }
                }
            }
            Edit::Type { at, which, .. }
            | Edit::Renumber { at, which, .. }
            | Edit::Rename { at, which, .. }
            | Edit::Label { at, which, .. }
            | Edit::Max { at, which, .. } => {
                let Some(which) = pick(&mut self.fields[at], which) else { return };
                let field = &mut self.fields[at][which];
                match *edit {
                    Edit::Type { ty, .. } => (field.ty, field.max) = (ty, None),
                    Edit::Renumber { declared, .. } => {
                        field.former_number = declared.then_some(field.number);
                        field.number = next;
                    }
                    Edit::Rename { declared, .. } => {
                        field.former = declared.then(|| field.name.clone());
                        field.name = format!("f{next}");
                    }
                    Edit::Label { label, .. } => field.label = label,
                    Edit::Max { max, .. } if field.ty < 6 => field.max = max,
                    _ => {}
                }
            }
        }
    }

    /// The `.proto` body.
    pub fn body(&self) -> String {
        let message = |name: &str, at: usize| {
            let mut text = format!("message {name} {{\n");
            for (name, reads_as) in &self.removed[at] {
                let said = format!("removed: {{ name: \"{name}\" reads_as: \"{reads_as}\" }}");
                text += &format!("option (m) = {{ {said} }};\n");
            }
            for field in &self.fields[at] {
                let mut said = String::new();
                field.max.iter().for_each(|max| said += &format!("max: {max} "));
                field.former.iter().for_each(|name| said += &format!("former_names: \"{name}\" "));
                field.former_number.iter().for_each(|number| said += &format!("former_numbers: {number} "));
                let options = if said.is_empty() { said } else { format!(" [(f) = {{ {said} }}]") };
                let label = ["", "optional ", "repeated "][field.label];
                text += &format!("{label}{} {} = {}{options};\n", TYPES[field.ty], field.name, field.number);
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
    let (at, which, ty, label) = (0..2usize, 0..8usize, 0..TYPES.len(), 0..3usize);
    prop_oneof![
        1 => (at.clone(), ty.clone(), label.clone()).prop_map(|(at, ty, label)| Edit::Add { at, ty, label }),
        1 => (at.clone(), which.clone(), any::<bool>())
            .prop_map(|(at, which, reads_as)| Edit::Remove { at, which, reads_as }),
        3 => (at.clone(), which.clone(), ty).prop_map(|(at, which, ty)| Edit::Type { at, which, ty }),
        1 => (at.clone(), which.clone(), any::<bool>())
            .prop_map(|(at, which, declared)| Edit::Renumber { at, which, declared }),
        1 => (at.clone(), which.clone(), any::<bool>())
            .prop_map(|(at, which, declared)| Edit::Rename { at, which, declared }),
        2 => (at.clone(), which.clone(), label).prop_map(|(at, which, label)| Edit::Label { at, which, label }),
        1 => (at, which, proptest::option::of(0..200i64)).prop_map(|(at, which, max)| Edit::Max { at, which, max }),
        1 => any::<bool>().prop_map(|reads_as| Edit::AddValue { reads_as }),
        1 => any::<bool>().prop_map(|reads_as| Edit::RemoveValue { reads_as }),
    ]
}

/// A shape and what a short script makes of it.
pub fn pair() -> impl Strategy<Value = (Shape, Shape)> {
    let add = (0..2usize, 0..TYPES.len(), 0..3usize).prop_map(|(at, ty, label)| Edit::Add { at, ty, label });
    let max = (0..2usize, 0..8usize, 0..200i64).prop_map(|(at, which, max)| Edit::Max {
        at,
        which,
        max: Some(max),
    });
    let start = proptest::collection::vec(prop_oneof![4 => add, 1 => max], 2..10);
    (start, proptest::collection::vec(edit(), 1..4)).prop_map(|(start, script)| {
        let mut old = Shape { values: vec![(0, false), (1, false)], next: 2, ..Shape::default() };
        start.iter().for_each(|edit| old.apply(edit));
        let mut new = old.clone();
        script.iter().for_each(|edit| new.apply(edit));
        (old, new)
    })
}
