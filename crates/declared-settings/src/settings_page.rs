use crate::prelude::*;

/// The page of every declared set, in Markdown.
pub fn settings_page() -> String {
    let mut page = String::from(
        "# Settings\n\n\
         Generated from the declarations in `crates/declared-settings`:\n\
         `cargo run -p declared-settings --example settings_page > docs/SETTINGS.md`.\n",
    );
    page += "\n`DaemonSettings` come from a JSON object in the settings file, and from flags over it:\n\
             the same names with dashes (`--node-name s1`). Flags of lists may stand many times or\n\
             hold many items between commas. `QueueSettings` stand under any `settings` of the\n\
             operators' tree; what a level does not set it inherits from the level above:\n\n\
             ```json\n\
             {\"settings\": {\"urgency\": 3},\n \
             \"regions\": {\"r\": {\"settings\": {}, \"zones\": {\"z\": {\"settings\": {\"share\": 2.0},\n  \
             \"queues\": {\"q\": {\"settings\": {\"urgency\": 8}}}}}}}}\n\
             ```\n\n\
             Names of regions, zones and queues have 1 to 63 of a-z, 0-9 and -. No two regions may\n\
             hold a zone of one name. Unknown names are faults, and so is a key that stands twice.\n";
    page += &section::<DaemonSettings>("DaemonSettings");
    page += &section::<QueueSettings>("QueueSettings");
    page += &section::<ConfigurationSettings>("ConfigurationSettings");
    page
}

fn section<S: DeclaredSettings>(title: &str) -> String {
    let rows: String = S::describe()
        .iter()
        .map(|d| {
            let cells = [
                format!("`{}`", d.name),
                d.type_name.clone(),
                format!("`{}`", d.default),
                d.check.clone(),
                d.unit.to_owned(),
                d.help.clone(),
            ];
            format!("| {} |\n", cells.map(|c| c.replace('|', "\\|")).join(" | "))
        })
        .collect();
    format!(
        "\n## {title}\n\n{}\n\n\
         | Setting | Type | Default | Check | Unit | What it does |\n\
         | --- | --- | --- | --- | --- | --- |\n{rows}",
        S::about()
    )
}
