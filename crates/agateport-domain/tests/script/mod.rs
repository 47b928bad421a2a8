//! The small language of scenarios: one command a line, words as a shell splits
//! them, `#` for comments. The transcript repeats each command and adds what
//! came of it, so that a scenario reads as input and expected output.

/// Runs a scenario; `step` gets the words of each command and returns what came
/// of it, one line each.
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
