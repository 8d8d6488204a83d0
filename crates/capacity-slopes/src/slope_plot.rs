use crate::prelude::*;

/// The plots of one variable: a row for each quantity that grows, a column for each role.
pub struct SlopePlot<'a> {
    variable: Variable,
    slopes: Vec<&'a Slope>,
}

/// Width and height of one plot.
const CELL: (u32, u32) = (340, 220);
/// What is drawn.
const DRAWN: [Quantity; 4] = [Quantity::SentBytes, Quantity::WorkerBytes, Quantity::Cpu, Quantity::Held];

impl<'a> SlopePlot<'a> {
    /// Plots of these slopes.
    pub fn new(variable: Variable, slopes: Vec<&'a Slope>) -> Self {
        SlopePlot { variable, slopes }
    }

    /// Writes the file.
    pub fn draw(&self, folder: &Path) -> Result<PathBuf, CapacityError> {
        let path = folder.join(format!("{}.svg", self.variable.word()));
        self.paint(&path).map_err(|reason| CapacityError::Drawing { path: path.clone(), reason })?;
        Ok(path)
    }

    fn paint(&self, path: &Path) -> Result<(), String> {
        let size = (CELL.0 * Role::ALL.len() as u32, CELL.1 * DRAWN.len() as u32);
        let root = SVGBackend::new(path, size).into_drawing_area();
        root.fill(&WHITE).map_err(|e| e.to_string())?;
        let cells = root.split_evenly((DRAWN.len(), Role::ALL.len()));
        for (i, cell) in cells.iter().enumerate() {
            let (q, role) = (DRAWN[i / Role::ALL.len()], Role::ALL[i % Role::ALL.len()]);
            let Some(s) = self.slopes.iter().find(|s| s.quantity == q && s.role == role) else { continue };
            let most = |f: fn(&(f64, f64)) -> f64| s.points.iter().map(f).fold(0.0, f64::max).max(1.0);
            let (right, top) = (most(|p| p.0), most(|p| p.1) * 1.1);
            let mut chart = ChartBuilder::on(cell)
                .caption(format!("{}: {q}", role.word()), ("sans-serif", 13).into_font())
                .margin(6)
                .x_label_area_size(32)
                .y_label_area_size(64)
                .build_cartesian_2d(0.0..right, 0.0..top)
                .map_err(|e| e.to_string())?;
            chart.configure_mesh().disable_mesh().x_desc(self.variable.word()).x_labels(5).y_labels(5).draw().map_err(|e| e.to_string())?;
            let line = [0.0, right].map(|x| (x, s.fit.at(x).clamp(0.0, top)));
            chart.draw_series(LineSeries::new(line, &BLUE)).map_err(|e| e.to_string())?;
            chart.draw_series(s.points.iter().map(|p| Circle::new(*p, 3, RED.filled()))).map_err(|e| e.to_string())?;
        }
        root.present().map_err(|e| e.to_string())
    }
}
