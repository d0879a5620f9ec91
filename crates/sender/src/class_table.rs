//! The table of class rules. The rules in a row of the table never change.
//! If a class's rules differ after a reload of the configuration, the class gets a new row for new messages.
//! Open messages keep the table row with the class rules under which they were accepted.

use heronroute::{ClassSettings, Micros};

/// Time for which messages of a class are accepted after a reload has dropped the class.
/// Clients may be notified of the new configuration later than the sender.
const DROPPED_CLASS_GRACE_US: Micros = 3_000_000;

/// Which messages use a row of the class table: new and open messages, or only open messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RowUse {
    /// The row's rules apply to new messages of the class and to open messages accepted under the row.
    Current,
    /// The row is used as in `Current` until the given time, since the class is no longer in the configuration.
    Dropped(Micros),
    /// The row's rules apply only to open messages that were accepted under the row.
    MessagesOnly,
}

#[derive(Clone, Debug)]
struct Row {
    name: String,
    class: ClassSettings,
    used: RowUse,
    /// Number of open messages that were accepted under this row of the class table.
    open: usize,
}

/// The rows of class rules. A row's number is the class index that the dispatcher knows.
#[derive(Debug, Default)]
pub struct ClassTable {
    rows: Vec<Row>,
}

impl ClassTable {
    /// Creates one row for each class of the configuration with which the process starts.
    pub fn new(classes: impl IntoIterator<Item = (String, ClassSettings)>) -> Self {
        let row = |(name, class)| Row { name, class, used: RowUse::Current, open: 0 };
        ClassTable { rows: classes.into_iter().map(row).collect() }
    }

    /// Returns the row with the class rules for a new message of the class.
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

    /// Returns the row with the class rules for a message that an earlier process accepted.
    /// If the message's rules are unknown (in an old journal), the rules in the class's current row apply.
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

    /// Updates the table's rows for the message classes of a reloaded configuration.
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

    /// Adds a row for a class, in place of a row that no message uses if there is one.
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

    /// Adds one to the number of open messages accepted under the row `at`.
    pub fn add_message(&mut self, at: usize) {
        if let Some(row) = self.rows.get_mut(at) {
            row.open += 1;
        }
    }

    /// Subtracts an ended message from the number of open messages accepted under the row `at`.
    pub fn remove_message(&mut self, at: usize) {
        if let Some(row) = self.rows.get_mut(at) {
            row.open = row.open.saturating_sub(1);
        }
    }

    /// Returns the class rules in the row `at`.
    pub fn settings(&self, at: usize) -> Option<&ClassSettings> {
        self.rows.get(at).map(|row| &row.class)
    }

    /// Returns the class rules of all rows, ordered by row number.
    pub fn classes(&self) -> Vec<ClassSettings> {
        self.rows.iter().map(|row| row.class.clone()).collect()
    }

    /// Returns the class names of all rows, ordered by row number.
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
    fn a_class_that_returns_with_other_rules_gets_a_new_row() {
        let mut rows = ClassTable::new(listed(&[("a", Effect::Safe, 6), ("b", Effect::Safe, 6)]));
        let before = rows.current_row("a", 0).unwrap();
        rows.add_message(before);
        rows.reload(listed(&[("b", Effect::Safe, 6)]), 10);
        assert_eq!(rows.current_row("a", 11), Some(before), "clients may be notified later");
        assert_eq!(rows.current_row("a", 10 + DROPPED_CLASS_GRACE_US), None);
        rows.reload(listed(&[("a", Effect::Unsafe, 6), ("b", Effect::Safe, 6)]), 20);
        let after = rows.current_row("a", 21).unwrap();
        assert_ne!(after, before);
        assert_eq!(rows.settings(before).unwrap().effect, Effect::Safe);
        assert_eq!(rows.settings(after).unwrap().effect, Effect::Unsafe);
    }

    #[test]
    fn changed_max_attempts_give_a_new_row_and_unchanged_rules_the_same_row() {
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
    fn only_rows_without_messages_are_reused() {
        let mut rows = ClassTable::new(listed(&[("a", Effect::Safe, 6)]));
        let first = rows.current_row("a", 0).unwrap();
        rows.add_message(first);
        for n in 1..100 {
            rows.reload(listed(&[("a", Effect::Safe, n)]), Micros::from(n));
        }
        assert_eq!(rows.classes().len(), 2, "the row with a message, and the current one");
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
