// The scenario language, described in docs/SCENARIOS.md: one statement per line.
#pragma once

#include "Common/Time.h"

#include <stdexcept>
#include <string>
#include <vector>

namespace Tanagerbay::Scenario {

// A syntax error in a script, with the file, the line and what was expected there.
class ScriptError : public std::runtime_error
{
public:
    ScriptError(const std::string &file, int line, const std::string &expected)
        : std::runtime_error(file + ":" + std::to_string(line) + ": expected " + expected)
    {
    }
};

struct Statement
{
    int line = 0;
    Common::Milliseconds at{0};
    // The verb and its arguments.
    std::vector<std::string> words;
};

// Parses a whole script. Throws ScriptError.
std::vector<Statement> parseScript(const std::string &file, const std::string &text);

// Reads a duration such as `1500ms` or `2.5s`. Throws ScriptError.
Common::Milliseconds parseDuration(const std::string &file, int line, const std::string &text);

// Runs a script. Returns the failures, one line each; empty if all expectations and invariants
// were met.
std::vector<std::string> runScript(const std::string &file, const std::string &text);

} // namespace Tanagerbay::Scenario
