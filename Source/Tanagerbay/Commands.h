// The subcommands. Each takes the arguments after its name and returns the exit code of the
// process.
#pragma once

#include <string>
#include <vector>

namespace Tanagerbay::Commands {

enum ExitCode : int {
    Success = 0,
    Failure = 1,
    // The command line is invalid.
    Usage = 2,
};

using Arguments = std::vector<std::string>;

int serve(const Arguments &arguments);
int check(const Arguments &arguments);
int lists(const Arguments &arguments);
int dump(const Arguments &arguments);
int load(const Arguments &arguments);
int standIn(const Arguments &arguments);
int demo(const Arguments &arguments);
int experiment(const Arguments &arguments);

} // namespace Tanagerbay::Commands
