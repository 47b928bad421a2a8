//! Runner of scenario scripts: one command per line, split into words as a shell
//! does, with `#` for comments. The transcript repeats each command and appends
//! its output, so that it reads as input and expected output.

/// Runs a scenario. `step` receives the words of each command and returns the
/// lines of its output.
pub fn run(text: &str, mut step: impl FnMut(&[&str]) -> Vec<String>) -> String {
    let mut transcript = Vec::new();
    for line in text.lines() {
        let words = shlex::split(line).expect("the quotes of a command are closed");
        if words.is_empty() {
            continue;
        }
        let words: Vec<&str> = words.iter().map(String::as_str).collect();
        transcript.push(format!("> {}", line.trim()));
        transcript.extend(step(&words));
    }
    transcript.join("\n")
}
