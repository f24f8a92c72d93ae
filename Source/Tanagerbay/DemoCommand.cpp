#include "Common/Clock.h"
#include "Http/EventStream.h"
#include "Load/Generator.h"
#include "Node/Instance.h"
#include "Node/Log.h"
#include "StandIns/Host.h"
#include "Tanagerbay/Support.h"

#include <iostream>
#include <thread>

namespace Tanagerbay::Commands {

namespace {

constexpr Common::Milliseconds kCallTimeout{20'000};
constexpr Common::Milliseconds kReadyPollInterval{50};
constexpr Common::Milliseconds kReadyTimeout{10'000};
constexpr std::size_t kMaxShownCharacters = 160;

// Waits until the instance has read the lists. Returns false on a time-out.
bool waitUntilReady(const Node::Instance &instance)
{
    const Common::Time deadline = Common::clockNow() + kReadyTimeout;
    while (instance.phase() == Node::Phase::Starting) {
        if (Common::clockNow() >= deadline)
            return false;
        std::this_thread::sleep_for(kReadyPollInterval);
    }
    return true;
}

bool putList(const Node::Settings &settings, const std::string &name, const std::string &path,
             const std::string &token)
{
    const auto body = readFile(path);
    if (!body)
        return false;
    Http::Request request{"PUT", "/v1/lists/" + name + "?acceptWarnings=true", {}, *body};
    request.headers.add("Authorization", "Bearer " + token);
    request.headers.add("If-Match", "\"0\"");
    const auto reply = callAndWait(settings.operatorPort.address, std::move(request), kCallTimeout);
    const std::string outcome = reply ? reply->body : std::string("no response");
    std::cout << "list " << name << ": " << outcome << "\n";
    return reply && reply->status == 200;
}

std::string abbreviated(const std::string &text)
{
    return text.size() <= kMaxShownCharacters ? text : text.substr(0, kMaxShownCharacters) + "...";
}

// Joins the tokens of a stream and appends its terminal event.
std::string formatStream(const std::string &body)
{
    Http::EventParser parser;
    parser.feed(body);
    Http::Event event;
    std::string text;
    while (parser.next(event)) {
        if (event.type.empty())
            text += event.data;
        else
            text = abbreviated(text) + "\n    [" + event.type + "] " + event.data;
    }
    return text;
}

bool showAction(const Node::Settings &settings, const Load::ActionSettings &action,
                std::mt19937_64 &random)
{
    Load::Workload single;
    single.actions.push_back(action);
    Load::PlannedRequest planned = Load::planRequest(single, random);
    std::cout << "\n"
              << action.name << " (plan " << action.plan << ")\n  POST " << planned.request.target
              << "\n";
    const auto reply
        = callAndWait(settings.caller.address, std::move(planned.request), kCallTimeout);
    if (!reply) {
        std::cout << "  no response: " << Common::nameOf(reply.error().failure) << "\n";
        return false;
    }
    const std::string text = action.stream ? formatStream(reply->body) : abbreviated(reply->body);
    std::cout << "  " << reply->status << " " << text << "\n";
    return reply->status == 200;
}

int runDemo(const Node::Settings &settings, const Load::Workload &workload,
            const StandIns::Settings &standIns, const std::string &examples,
            const std::string &token, double seconds, double rate)
{
    std::mt19937_64 random(1);
    bool succeeded = putList(settings, "plans", examples + "/plans.json", token);
    succeeded
        = putList(settings, "entitlements", examples + "/entitlements.json", token) && succeeded;
    for (const Load::ActionSettings &action : workload.actions)
        succeeded = showAction(settings, action, random) && succeeded;
    std::cout << "\n" << rate << " requests per second for " << seconds << " s\n";
    Load::GeneratorSettings load;
    load.targets = {settings.caller.address};
    load.control = standIns.control;
    load.ratePerSecond = rate;
    load.seconds = seconds;
    const Load::Report report = Load::generateLoad(load, workload);
    std::cout << report.toText(seconds);
    return succeeded && report.violationCount() == 0 ? ExitCode::Success : ExitCode::Failure;
}

} // namespace

int demo(const Arguments &arguments)
{
    cxxopts::Options options("tanagerbay demo",
                             "Starts an entry instance and the stand-ins in this process on "
                             "loopback, sends requests, prints the responses and exits.");
    options.add_options()("examples", "Folder with the example files of a deployment",
                          cxxopts::value<std::string>()->default_value("Examples/hanbit"))(
        "token", "Operator token that matches the settings",
        cxxopts::value<std::string>()->default_value("operator-token"))(
        "seconds", "Duration of the load in seconds", cxxopts::value<double>()->default_value("5"))(
        "rate", "Requests per second", cxxopts::value<double>()->default_value("20"));
    cxxopts::ParseResult result;
    if (const auto code = parseArguments(options, arguments, result))
        return *code;
    const std::string examples = result["examples"].as<std::string>();
    const auto settings = readEntrySettings(examples + "/entry.json");
    auto standIns = readStandInSettings(examples + "/standins.json");
    const auto workload = readWorkload(examples + "/workload.json");
    if (!settings || !standIns || !workload)
        return ExitCode::Failure;
    // Only one of the entry instances in the file runs in this process.
    std::erase_if(standIns->entries, [&settings](const StandIns::EntrySettings &entry) {
        return entry.id != settings->instance.value;
    });
    Node::configureLog(true);
    StandIns::Host host(*standIns);
    std::string problem = host.start();
    Node::Instance instance(*settings);
    if (problem.empty())
        problem = instance.start();
    if (problem.empty() && !waitUntilReady(instance))
        problem = "the entry instance did not become ready";
    if (!problem.empty()) {
        std::cerr << problem << "\n";
        return ExitCode::Failure;
    }
    const int code
        = runDemo(*settings, *workload, *standIns, examples, result["token"].as<std::string>(),
                  result["seconds"].as<double>(), result["rate"].as<double>());
    instance.drain();
    instance.waitUntilDrained();
    instance.stop();
    host.stop();
    return code;
}

} // namespace Tanagerbay::Commands
