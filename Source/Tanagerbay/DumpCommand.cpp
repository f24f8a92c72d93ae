#include "Tanagerbay/Support.h"

#include <iostream>

namespace Tanagerbay::Commands {

int dump(const Arguments &arguments)
{
    constexpr Common::Milliseconds kTimeout{5000};
    cxxopts::Options options("tanagerbay dump",
                             "Prints the state of an instance as JSON.\n"
                             "The operator's token is read from TANAGERBAY_TOKEN.");
    options.add_options()("operator", "Operator port of the instance, as ip:port",
                          cxxopts::value<std::string>())(
        "metrics", "Print the metrics instead", cxxopts::value<bool>()->default_value("false"));
    cxxopts::ParseResult result;
    if (const auto code = parseArguments(options, arguments, result))
        return *code;
    if (result.count("operator") == 0) {
        std::cerr << "--operator is required\n" << options.help();
        return ExitCode::Usage;
    }
    const auto address = readAddress(result["operator"].as<std::string>());
    if (!address)
        return ExitCode::Usage;
    const auto token = operatorToken();
    if (!token)
        return ExitCode::Failure;
    const bool metrics = result["metrics"].as<bool>();
    Http::Request request{"GET", metrics ? "/metrics" : "/v1/state", {}, ""};
    request.headers.add("Authorization", "Bearer " + *token);
    const auto reply = callAndWait(*address, std::move(request), kTimeout);
    if (!reply) {
        std::cerr << "the operator port did not answer: " << Common::nameOf(reply.error().failure)
                  << "\n";
        return ExitCode::Failure;
    }
    std::cout << reply->body << "\n";
    return reply->status == 200 ? ExitCode::Success : ExitCode::Failure;
}

} // namespace Tanagerbay::Commands
