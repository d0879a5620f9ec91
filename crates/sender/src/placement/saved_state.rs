//! What the state folder remembers of the member list: a restarted owner need not wait as a new one, and does not take a
//! larger share of a limit than its last run left it.

use embershore_placement::Remembered;
use std::cell::RefCell;
use std::io;
use std::path::{Path, PathBuf};

const FILE: &str = "placement.json";
const NEXT_FILE: &str = "placement.json.next";

/// The file, and what stands in it.
#[derive(Debug)]
pub struct SavedState {
    folder: PathBuf,
    written: RefCell<Option<Remembered>>,
}

impl SavedState {
    /// Reads what an earlier run left. A file that can't be read counts as none: the sender then waits as a new owner.
    pub fn open(folder: &Path) -> SavedState {
        let read = std::fs::read(folder.join(FILE)).ok();
        let remembered = read.and_then(|text| serde_json::from_slice(&text).ok());
        SavedState { folder: folder.into(), written: RefCell::new(remembered) }
    }

    /// What an earlier run left, or this one has written.
    pub fn get(&self) -> Option<Remembered> {
        self.written.borrow().clone()
    }

    /// Writes it down, unless it stands there.
    ///
    /// # Errors
    /// When the folder can't be written; what stood there before stays.
    pub fn save(&self, remembered: Remembered) -> io::Result<()> {
        if self.written.borrow().as_ref() == Some(&remembered) {
            return Ok(());
        }
        let next = self.folder.join(NEXT_FILE);
        std::fs::write(&next, serde_json::to_vec(&remembered)?)?;
        std::fs::rename(next, self.folder.join(FILE))?;
        self.written.replace(Some(remembered));
        Ok(())
    }
}
