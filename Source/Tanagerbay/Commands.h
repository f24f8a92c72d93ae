// The subcommands. Each takes the words after its name and returns the process's exit code.
#pragma once

#include <string>
#include <vector>

namespace Tanagerbay::Commands {

enum ExitCode : int {
    Success = 0,
    Failure = 1,
    // The command line is wrong.
    Usage = 2,
};

using Words = std::vector<std::string>;

int serve(const Words &words);
int check(const Words &words);
int lists(const Words &words);
int dump(const Words &words);
int load(const Words &words);
int standIn(const Words &words);
int demo(const Words &words);
int experiment(const Words &words);

} // namespace Tanagerbay::Commands
