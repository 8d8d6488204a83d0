use crate::prelude::*;

/// A table for people: columns as wide as their widest cell.
///
/// ```
/// # mod t { pub use firlock_client::prelude::TextTable; }
/// let mut t = t::TextTable::new(&["JOB", "STATE"]);
/// t.row(["hold-7", "running"]);
/// assert_eq!(t.to_string(), "JOB     STATE\nhold-7  running\n");
/// ```
#[derive(Clone, Debug, Default)]
pub struct TextTable {
    rows: Vec<Vec<String>>,
}

impl TextTable {
    /// A table with these heads.
    pub fn new(heads: &[&str]) -> Self {
        TextTable { rows: vec![heads.iter().map(|h| (*h).to_owned()).collect()] }
    }

    /// Adds a row.
    pub fn row<S: ToString, I: IntoIterator<Item = S>>(&mut self, cells: I) {
        self.rows.push(cells.into_iter().map(|c| c.to_string()).collect());
    }
}

impl fmt::Display for TextTable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let wide = |c: usize| self.rows.iter().filter_map(|r| r.get(c)).map(|s| s.chars().count()).max().unwrap_or(0);
        let widths: Vec<usize> = (0..columns).map(wide).collect();
        for r in &self.rows {
            let line: String = r.iter().zip(&widths).map(|(s, w)| format!("{s:<w$}  ")).collect();
            writeln!(f, "{}", line.trim_end())?;
        }
        Ok(())
    }
}
