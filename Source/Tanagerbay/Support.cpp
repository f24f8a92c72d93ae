#include "Tanagerbay/Support.h"

#include "Common/Clock.h"

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

namespace Tanagerbay::Commands {

namespace asio = boost::asio;

namespace {

constexpr Common::Milliseconds kSignalPollInterval{50};

// Reads a JSON file and parses it with `parse(document, faults)`.
template <typename Parse>
auto readJsonFile(const std::string &path, Parse &&parse)
    -> std::optional<decltype(parse(boost::json::value(), std::declval<Common::JsonFaults &>()))>
{
    const auto text = readFile(path);
    if (!text)
        return std::nullopt;
    Common::JsonFaults faults;
    const auto document = Common::parseJson(*text, faults);
    if (document) {
        auto parsed = parse(*document, faults);
        if (faults.empty())
            return parsed;
    }
    for (const Common::JsonFault &fault : faults) {
        std::cerr << path << ": " << (fault.path.empty() ? "(document)" : fault.path) << ": "
                  << fault.message << "\n";
    }
    return std::nullopt;
}

} // namespace

std::optional<int> parseArguments(cxxopts::Options &options, const Arguments &arguments,
                                  cxxopts::ParseResult &result)
{
    options.add_options()("h,help", "Print this help and exit");
    std::vector<const char *> pointers{"tanagerbay"};
    for (const std::string &argument : arguments)
        pointers.push_back(argument.c_str());
    try {
        result = options.parse(static_cast<int>(pointers.size()), pointers.data());
    } catch (const std::exception &fault) {
        std::cerr << fault.what() << "\n" << options.help();
        return ExitCode::Usage;
    }
    if (result.count("help") > 0) {
        std::cout << options.help();
        return ExitCode::Success;
    }
    if (!result.unmatched().empty()) {
        std::cerr << "unexpected argument: " << result.unmatched().front() << "\n"
                  << options.help();
        return ExitCode::Usage;
    }
    return std::nullopt;
}

std::optional<std::string> readFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        std::cerr << path << ": cannot be read\n";
        return std::nullopt;
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::optional<Node::Settings> readEntrySettings(const std::string &path)
{
    return readJsonFile(path, [](const boost::json::value &document, Common::JsonFaults &faults) {
        return Node::parseSettings(document, faults);
    });
}

std::optional<Entry::Settings> readPlatformSettings(const std::string &path)
{
    return readJsonFile(path, [](const boost::json::value &document, Common::JsonFaults &faults) {
        return Entry::parseSettings(document, faults);
    });
}

bool isForPlatform(const std::string &path)
{
    const auto text = readFile(path);
    if (!text)
        return false;
    Common::JsonFaults ignored;
    const auto document = Common::parseJson(*text, ignored);
    return document && document->is_object() && document->get_object().contains("dialect");
}

std::optional<StandIns::Settings> readStandInSettings(const std::string &path)
{
    return readJsonFile(path, [](const boost::json::value &document, Common::JsonFaults &faults) {
        return StandIns::parseSettings(document, faults);
    });
}

std::optional<Load::Workload> readWorkload(const std::string &path)
{
    return readJsonFile(path, [](const boost::json::value &document, Common::JsonFaults &faults) {
        return Load::parseWorkload(document, faults);
    });
}

std::optional<Http::Address> readAddress(const std::string &text)
{
    Http::Address address;
    if (Http::parseAddress(text, address))
        return address;
    std::cerr << "invalid address, expected ip:port: " << text << "\n";
    return std::nullopt;
}

Http::CallResult<Http::Response> callAndWait(const Http::Address &address, Http::Request request,
                                             Common::Milliseconds timeout)
{
    asio::io_context context(1);
    Http::Client client(context.get_executor());
    Http::CallResult<Http::Response> result
        = tl::unexpected(Http::CallError{Http::CallFailure::Timeout, false, "no response"});
    const auto call = [&]() -> Http::Awaitable<void> {
        Http::CallOptions options;
        options.deadline = Common::clockNow() + timeout;
        options.connectTimeout = timeout;
        options.requiresFraming = true;
        result = co_await client.call(address, std::move(request), options);
    };
    asio::co_spawn(context, call(), asio::detached);
    context.run();
    return result;
}

std::optional<std::string> operatorToken()
{
    const char *token = std::getenv("TANAGERBAY_TOKEN");
    if (token && *token)
        return std::string(token);
    std::cerr << "environment variable TANAGERBAY_TOKEN must be set to the operator's token\n";
    return std::nullopt;
}

void waitForSignal(const std::function<bool()> &isFinished)
{
    asio::io_context context(1);
    asio::signal_set signals(context, SIGTERM, SIGINT);
    bool signalReceived = false;
    signals.async_wait(
        [&signalReceived](const boost::system::error_code &, int) { signalReceived = true; });
    while (!signalReceived && !isFinished())
        context.run_for(kSignalPollInterval);
}

} // namespace Tanagerbay::Commands
