//! The rules of each class, as rows that never change: a class whose rules differ after a retuning becomes a new row, its
//! name points to that, and messages that are open keep the row under which they were taken on.

use heronroute::{ClassSettings, Micros};

/// A class that a configuration drops is taken on for this long: clients hear of it when the sender does, or later.
const DROPPED_CLASS_GRACE_US: Micros = 3_000_000;

/// What a row still serves for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RowUse {
    /// New messages of its name.
    Current,
    /// The same, until then: its name stands in the configuration no more.
    Dropped(Micros),
    /// Only messages that were taken on under it.
    MessagesOnly,
}

#[derive(Clone, Debug)]
struct Row {
    name: String,
    class: ClassSettings,
    used: RowUse,
    /// Messages that are open under it.
    open: usize,
}

/// All rows that are in use. A row's number is the class's index in the module.
#[derive(Debug, Default)]
pub struct ClassTable {
    rows: Vec<Row>,
}

impl ClassTable {
    /// The rows of the configuration at the start.
    pub fn new(classes: impl IntoIterator<Item = (String, ClassSettings)>) -> Self {
        let row = |(name, class)| Row { name, class, used: RowUse::Current, open: 0 };
        ClassTable { rows: classes.into_iter().map(row).collect() }
    }

    /// The row for a new message of that class.
    pub fn current_row(&self, name: &str, now: Micros) -> Option<usize> {
        self.rows.iter().position(|row| {
            row.name == name
                && match row.used {
                    RowUse::Current => true,
                    RowUse::Dropped(until) => now < until,
                    RowUse::MessagesOnly => false,
                }
        })
    }

    /// The row under which a message goes on that an earlier process took on. Where its rules are not known (an old
    /// journal), those of its name's newest row hold.
    pub fn row_for_restored(
        &mut self,
        name: &str,
        class: Option<&ClassSettings>,
        now: Micros,
    ) -> Option<usize> {
        let Some(class) = class else { return self.current_row(name, now) };
        let same = self.rows.iter().position(|row| row.name == name && row.class == *class);
        same.or_else(|| Some(self.insert(name, class.clone(), RowUse::MessagesOnly, now)))
    }

    /// Takes another configuration's classes over.
    pub fn reload(&mut self, classes: Vec<(String, ClassSettings)>, now: Micros) {
        for row in &mut self.rows {
            if row.used == RowUse::Current && !classes.iter().any(|(name, _)| *name == row.name) {
                row.used = RowUse::Dropped(now + DROPPED_CLASS_GRACE_US);
            }
        }
        for (name, class) in classes {
            let named =
                self.rows.iter_mut().filter(|row| row.name == name && row.used != RowUse::MessagesOnly);
            named.for_each(|row| row.used = RowUse::MessagesOnly);
            match self.rows.iter_mut().find(|row| row.name == name && row.class == class) {
                Some(row) => row.used = RowUse::Current,
                None => _ = self.insert(&name, class, RowUse::Current, now),
            }
        }
    }

    /// Puts a new row where one is free.
    fn insert(&mut self, name: &str, class: ClassSettings, used: RowUse, now: Micros) -> usize {
        let row = Row { name: name.to_string(), class, used, open: 0 };
        let free = self.rows.iter().position(|row| {
            row.open == 0
                && match row.used {
                    RowUse::Current => false,
                    RowUse::Dropped(until) => now >= until,
                    RowUse::MessagesOnly => true,
                }
        });
        match free {
            Some(at) => self.rows[at] = row,
            None => self.rows.push(row),
        }
        free.unwrap_or(self.rows.len() - 1)
    }

    /// A message has been taken on under this row.
    pub fn add_message(&mut self, at: usize) {
        if let Some(row) = self.rows.get_mut(at) {
            row.open += 1;
        }
    }

    /// A message that was has ended.
    pub fn remove_message(&mut self, at: usize) {
        if let Some(row) = self.rows.get_mut(at) {
            row.open = row.open.saturating_sub(1);
        }
    }

    /// A row's rules.
    pub fn settings(&self, at: usize) -> Option<&ClassSettings> {
        self.rows.get(at).map(|row| &row.class)
    }

    /// All rules, by row.
    pub fn classes(&self) -> Vec<ClassSettings> {
        self.rows.iter().map(|row| row.class.clone()).collect()
    }

    /// The names of all rows.
    pub fn names(&self) -> impl Iterator<Item = &String> {
        self.rows.iter().map(|row| &row.name)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use heronroute::Effect;

    fn class(effect: Effect, attempts: u32) -> ClassSettings {
        ClassSettings { effect, max_attempts: Some(attempts), ..ClassSettings::default() }
    }

    fn listed(classes: &[(&str, Effect, u32)]) -> Vec<(String, ClassSettings)> {
        classes.iter().map(|(name, effect, attempts)| (name.to_string(), class(*effect, *attempts))).collect()
    }

    #[test]
    fn a_class_that_comes_back_with_other_rules_is_a_row_beside_the_old_one() {
        let mut rows = ClassTable::new(listed(&[("a", Effect::Safe, 6), ("b", Effect::Safe, 6)]));
        let before = rows.current_row("a", 0).unwrap();
        rows.add_message(before);
        rows.reload(listed(&[("b", Effect::Safe, 6)]), 10);
        assert_eq!(rows.current_row("a", 11), Some(before), "clients hear of it later");
        assert_eq!(rows.current_row("a", 10 + DROPPED_CLASS_GRACE_US), None);
        rows.reload(listed(&[("a", Effect::Unsafe, 6), ("b", Effect::Safe, 6)]), 20);
        let after = rows.current_row("a", 21).unwrap();
        assert_ne!(after, before);
        assert_eq!(rows.settings(before).unwrap().effect, Effect::Safe);
        assert_eq!(rows.settings(after).unwrap().effect, Effect::Unsafe);
    }

    #[test]
    fn fewer_attempts_are_other_rules_and_the_same_rules_are_the_same_row() {
        let mut rows = ClassTable::new(listed(&[("a", Effect::Safe, 6)]));
        let six = rows.current_row("a", 0).unwrap();
        rows.add_message(six);
        rows.reload(listed(&[("a", Effect::Safe, 2)]), 1);
        let two = rows.current_row("a", 2).unwrap();
        assert_eq!(
            (rows.settings(two).unwrap().max_attempts, rows.settings(six).unwrap().max_attempts),
            (Some(2), Some(6))
        );
        rows.reload(listed(&[("a", Effect::Safe, 6)]), 3);
        assert_eq!(rows.current_row("a", 4), Some(six));
    }

    #[test]
    fn rows_without_messages_are_used_again_and_others_never() {
        let mut rows = ClassTable::new(listed(&[("a", Effect::Safe, 6)]));
        let first = rows.current_row("a", 0).unwrap();
        rows.add_message(first);
        for n in 1..100 {
            rows.reload(listed(&[("a", Effect::Safe, n)]), Micros::from(n));
        }
        assert_eq!(rows.classes().len(), 2, "the one with a message, and the newest");
        assert_eq!(rows.settings(first).unwrap().max_attempts, Some(6));
        rows.remove_message(first);
        rows.reload(listed(&[("a", Effect::Safe, 200)]), 1000);
        assert_eq!(rows.classes().len(), 2);
    }

    #[test]
    fn a_restored_message_has_the_row_of_its_rules() {
        let mut rows = ClassTable::new(listed(&[("a", Effect::Unsafe, 6)]));
        let old = rows.row_for_restored("a", Some(&class(Effect::Safe, 6)), 0).unwrap();
        assert_eq!(rows.settings(old).unwrap().effect, Effect::Safe);
        assert_ne!(rows.current_row("a", 0), Some(old));
        assert_eq!(rows.row_for_restored("a", Some(&class(Effect::Unsafe, 6)), 0), rows.current_row("a", 0));
        assert_eq!(rows.row_for_restored("a", None, 0), rows.current_row("a", 0));
        assert_eq!(rows.row_for_restored("gone", None, 0), None);
        assert!(rows.row_for_restored("gone", Some(&class(Effect::Safe, 6)), 0).is_some());
    }
}
