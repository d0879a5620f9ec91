//! The placement state that is saved in the state folder.
//! With the saved state a restarted owner does not have to wait like a new owner.
//! A restarted owner also does not use a larger fraction of a destination's limit than its previous process.

use embershore_placement::PersistedPlacement;
use std::cell::RefCell;
use std::io;
use std::path::{Path, PathBuf};

const FILE: &str = "placement.json";
const NEXT_FILE: &str = "placement.json.next";

/// The file of the saved placement state, and the file's content.
#[derive(Debug)]
pub struct SavedState {
    folder: PathBuf,
    written: RefCell<Option<PersistedPlacement>>,
}

impl SavedState {
    /// Reads the state file that an earlier process of this sender wrote.
    /// A file that can't be read counts as missing: the sender then waits as a new owner.
    pub fn open(folder: &Path) -> SavedState {
        let read = std::fs::read(folder.join(FILE)).ok();
        let state = read.and_then(|text| serde_json::from_slice(&text).ok());
        SavedState { folder: folder.into(), written: RefCell::new(state) }
    }

    /// Returns the placement state that this process has written last, or else the state of an earlier process.
    pub fn get(&self) -> Option<PersistedPlacement> {
        self.written.borrow().clone()
    }

    /// Writes the placement state to the state folder, unless the state is unchanged.
    ///
    /// # Errors
    /// The state folder can't be written; the state file then keeps its old content.
    pub fn save(&self, state: PersistedPlacement) -> io::Result<()> {
        if self.written.borrow().as_ref() == Some(&state) {
            return Ok(());
        }
        let next = self.folder.join(NEXT_FILE);
        std::fs::write(&next, serde_json::to_vec(&state)?)?;
        std::fs::rename(next, self.folder.join(FILE))?;
        self.written.replace(Some(state));
        Ok(())
    }
}
