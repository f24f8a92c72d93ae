// What the subcommands share: command lines, files, calls and signals.
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

// Parses a command line. Prints the help or the fault and returns an exit code where the command
// must not go on.
std::optional<int> parseWords(cxxopts::Options &options, const Words &words,
                              cxxopts::ParseResult &result);

// Reads a whole file. Prints the fault and returns nothing where it cannot be read.
std::optional<std::string> readFile(const std::string &path);

// Reads and checks a file; prints every fault, with the file's name.
std::optional<Node::Settings> readEntrySettings(const std::string &path);
std::optional<Entry::Settings> readPlatformSettings(const std::string &path);
std::optional<StandIns::Settings> readStandInSettings(const std::string &path);
std::optional<Load::Workload> readWorkload(const std::string &path);

// Whether the settings file is for an entry instance on a platform, by its member `dialect`.
bool isForPlatform(const std::string &path);

// Parses an address given on the command line; prints the fault.
std::optional<Http::Address> readAddress(const std::string &text);

// Sends one request and waits for the whole answer.
Http::CallResult<Http::Response> callAndWait(const Http::Address &address, Http::Request request,
                                             Common::Milliseconds timeout);

// Returns the operator's token from the variable TANAGERBAY_TOKEN; prints the fault.
std::optional<std::string> operatorToken();

// Blocks until SIGTERM or SIGINT arrives, or `over` returns true.
void waitForSignal(const std::function<bool()> &over);

} // namespace Tanagerbay::Commands
