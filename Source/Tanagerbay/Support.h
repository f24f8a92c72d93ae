// Functions shared by the subcommands: command-line parsing, file input, HTTP calls and signals.
#pragma once

#include "Common/JsonReader.h"
#include "Entry/Settings.h"
#include "Http/Client.h"
#include "Load/Workload.h"
#include "Node/Settings.h"
#include "StandIns/Settings.h"
#include "Tanagerbay/Commands.h"

#include <functional>
#include <optional>

#include <cxxopts.hpp>

namespace Tanagerbay::Commands {

// Parses a command line. If the command must not continue, prints the help or the fault and returns
// the exit code.
std::optional<int> parseArguments(cxxopts::Options &options, const Arguments &arguments,
                                  cxxopts::ParseResult &result);

// Reads a whole file. Prints an error and returns nothing if it cannot be read.
std::optional<std::string> readFile(const std::string &path);

// Each reads and checks a JSON file. Prints every fault with the file's path and returns nothing if
// there is one.
std::optional<Node::Settings> readEntrySettings(const std::string &path);
std::optional<Entry::Settings> readPlatformSettings(const std::string &path);
std::optional<StandIns::Settings> readStandInSettings(const std::string &path);
std::optional<Load::Workload> readWorkload(const std::string &path);

// Returns whether the settings file is for an entry instance on a platform, which has a member
// `dialect`.
bool isForPlatform(const std::string &path);

// Parses an address given on the command line. Prints an error and returns nothing if it is
// invalid.
std::optional<Http::Address> readAddress(const std::string &text);

// Sends one request and waits for the complete response.
Http::CallResult<Http::Response> callAndWait(const Http::Address &address, Http::Request request,
                                             Common::Milliseconds timeout);

// Returns the operator's token from the environment variable TANAGERBAY_TOKEN. Prints an error and
// returns nothing if it is not set.
std::optional<std::string> operatorToken();

// Blocks until SIGTERM or SIGINT arrives, or `isFinished` returns true.
void waitForSignal(const std::function<bool()> &isFinished);

} // namespace Tanagerbay::Commands
