#include "Lists/Snapshot.h"
#include "Tanagerbay/Support.h"

#include <iostream>

#include <boost/json.hpp>

namespace Tanagerbay::Commands {

namespace json = boost::json;

namespace {

constexpr Common::Milliseconds kCallTimeout{150'000};

Http::Request operatorRequest(std::string method, std::string target, const std::string &token)
{
    Http::Request request{std::move(method), std::move(target), {}, ""};
    request.headers.add("Authorization", "Bearer " + token);
    return request;
}

int reportCallError(const Http::CallError &error)
{
    std::cerr << "the operator port did not answer: " << Common::nameOf(error.failure) << "\n";
    return ExitCode::Failure;
}

int getList(const Http::Address &address, const std::string &name, const std::string &token)
{
    const auto reply
        = callAndWait(address, operatorRequest("GET", "/v1/lists/" + name, token), kCallTimeout);
    if (!reply)
        return reportCallError(reply.error());
    std::cerr << "version " << reply->headers.find("ETag") << "\n";
    std::cout << reply->body << "\n";
    return reply->status == 200 ? ExitCode::Success : ExitCode::Failure;
}

// Prints the outcome of the edit and the instances on which it is not yet in force.
int reportEdit(const Http::Response &reply)
{
    boost::system::error_code error;
    const json::value document = json::parse(reply.body, error);
    const json::value *state
        = !error && document.is_object() ? document.get_object().if_contains("state") : nullptr;
    if (!state) {
        std::cerr << reply.body << "\n";
        return ExitCode::Failure;
    }
    std::cout << std::string_view(state->as_string()) << " at version "
              << document.at("version").to_number<std::uint64_t>() << "\n";
    for (const json::value &line : document.at("lines").as_array())
        std::cout << "  " << std::string_view(line.as_string()) << "\n";
    if (const json::value *missing = document.get_object().if_contains("missing")) {
        for (const json::value &id : missing->as_array())
            std::cout << "  not yet in force on " << std::string_view(id.as_string()) << "\n";
    }
    return reply.status == 200 ? ExitCode::Success : ExitCode::Failure;
}

int putList(const Http::Address &address, const std::string &name, const std::string &token,
            const cxxopts::ParseResult &options)
{
    const auto body = readFile(options["file"].as<std::string>());
    if (!body)
        return ExitCode::Failure;
    std::string tag;
    if (options.count("if-version") > 0) {
        tag = "\"" + std::to_string(options["if-version"].as<std::uint64_t>()) + "\"";
    } else {
        const auto current = callAndWait(
            address, operatorRequest("GET", "/v1/lists/" + name, token), kCallTimeout);
        if (!current)
            return reportCallError(current.error());
        tag = std::string(current->headers.find("ETag"));
    }
    std::string target
        = "/v1/lists/" + name + "?waitMs=" + std::to_string(options["wait-ms"].as<std::int64_t>());
    if (options["accept-warnings"].as<bool>())
        target += "&acceptWarnings=true";
    Http::Request request = operatorRequest("PUT", target, token);
    request.headers.add("If-Match", tag);
    request.body = *body;
    const auto reply = callAndWait(address, std::move(request), kCallTimeout);
    if (!reply)
        return reportCallError(reply.error());
    return reportEdit(*reply);
}

} // namespace

int lists(const Arguments &arguments)
{
    cxxopts::Options options(
        "tanagerbay lists",
        "Reads or changes a list: tanagerbay lists get|put plans|entitlements.\n"
        "The operator's token is read from TANAGERBAY_TOKEN.");
    options.add_options()("verb", "get or put", cxxopts::value<std::string>())(
        "list", "plans or entitlements", cxxopts::value<std::string>())(
        "operator", "Operator port of any instance, as ip:port", cxxopts::value<std::string>())(
        "file", "The new list, for put", cxxopts::value<std::string>())(
        "if-version", "Only change the list if it still has this version",
        cxxopts::value<std::uint64_t>())(
        "wait-ms", "Maximum time in ms to wait until the edit is in force on all instances",
        cxxopts::value<std::int64_t>()->default_value("10000"))(
        "accept-warnings", "Write the edit despite warnings",
        cxxopts::value<bool>()->default_value("false"));
    options.parse_positional({"verb", "list"});
    options.positional_help("get|put plans|entitlements");
    cxxopts::ParseResult result;
    if (const auto code = parseArguments(options, arguments, result))
        return *code;
    const std::string verb = result.count("verb") > 0 ? result["verb"].as<std::string>() : "";
    const std::string name = result.count("list") > 0 ? result["list"].as<std::string>() : "";
    const bool isKnown
        = (verb == "get" || verb == "put") && Common::valueNamed<Lists::ListKind>(name);
    if (!isKnown || result.count("operator") == 0 || (verb == "put" && result.count("file") == 0)) {
        std::cerr << "a verb, a list, --operator and, for put, --file are required\n"
                  << options.help();
        return ExitCode::Usage;
    }
    const auto address = readAddress(result["operator"].as<std::string>());
    if (!address)
        return ExitCode::Usage;
    const auto token = operatorToken();
    if (!token)
        return ExitCode::Failure;
    return verb == "get" ? getList(*address, name, *token)
                         : putList(*address, name, *token, result);
}

} // namespace Tanagerbay::Commands
