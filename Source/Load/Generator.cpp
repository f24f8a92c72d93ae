#include "Load/Generator.h"

#include "Common/Clock.h"
#include "Load/Caller.h"

#include <cmath>
#include <thread>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace Tanagerbay::Load {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr Common::Milliseconds kCountsTimeout{5000};

// Generates the share of the load that one thread carries.
class LoadThread
{
public:
    LoadThread(const GeneratorSettings &settings, const Workload &workload, std::size_t index)
        : settings(settings), workload(workload), context(1), client(this->context.get_executor()),
          directory(this->client, settings.targets, settings.seed * 31 + index),
          random(settings.seed * 7919 + index)
    {
    }

    void run()
    {
        asio::co_spawn(this->context, this->generateArrivals(), asio::detached);
        this->context.run();
    }

    Report report;

private:
    Http::Awaitable<void> generateArrivals();
    Http::Awaitable<void> runPlanned(PlannedRequest planned);
    double rateAt(double second) const;

    const GeneratorSettings &settings;
    const Workload &workload;
    asio::io_context context;
    Http::Client client;
    EntryDirectory directory;
    std::mt19937_64 random;
};

double LoadThread::rateAt(double second) const
{
    const double share = this->settings.ratePerSecond / static_cast<double>(this->settings.threads);
    if (this->settings.burstEvery <= 0)
        return share;
    const double burstPhase = std::fmod(second, this->settings.burstEvery);
    return burstPhase < this->settings.burstSeconds ? share * this->settings.burstFactor : share;
}

Http::Awaitable<void> LoadThread::runPlanned(PlannedRequest planned)
{
    AnswerRecord record = co_await runRequest(this->client, this->directory, std::move(planned));
    this->report.add(std::move(record));
}

Http::Awaitable<void> LoadThread::generateArrivals()
{
    asio::steady_timer timer(this->context);
    const Common::Time start = Common::clockNow();
    double second = 0;
    while (true) {
        std::exponential_distribution<double> gap(this->rateAt(second));
        second += gap(this->random);
        if (second >= this->settings.seconds)
            break;
        PlannedRequest planned = planRequest(this->workload, this->random);
        timer.expires_at(
            start
            + std::chrono::duration_cast<Common::Duration>(std::chrono::duration<double>(second)));
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        asio::co_spawn(this->context, this->runPlanned(std::move(planned)), asio::detached);
    }
}

json::value readCounts(const GeneratorSettings &settings)
{
    if (!settings.control)
        return nullptr;
    asio::io_context context(1);
    Http::Client client(context.get_executor());
    json::value counts;
    const auto fetchCounts = [&]() -> Http::Awaitable<void> {
        Http::CallOptions options;
        options.deadline = Common::clockNow() + kCountsTimeout;
        Http::Request request{"GET", "/v1/counts", {}, ""};
        const auto reply = co_await client.call(*settings.control, std::move(request), options);
        boost::system::error_code ignored;
        if (reply && reply->status == 200)
            counts = json::parse(reply->body, ignored);
    };
    asio::co_spawn(context, fetchCounts(), asio::detached);
    context.run();
    return counts;
}

} // namespace

Report generateLoad(const GeneratorSettings &settings, const Workload &workload)
{
    const json::value before = readCounts(settings);
    std::vector<std::unique_ptr<LoadThread>> loadThreads;
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < settings.threads; ++i)
        loadThreads.push_back(std::make_unique<LoadThread>(settings, workload, i));
    for (const auto &loadThread : loadThreads)
        threads.emplace_back([&loadThread] { loadThread->run(); });
    for (std::thread &thread : threads)
        thread.join();
    Report report;
    for (const auto &loadThread : loadThreads)
        report.merge(std::move(loadThread->report));
    const json::value after = readCounts(settings);
    if (!before.is_null() && !after.is_null()) {
        report.recordCosts(before, after);
        report.checkRuns(before, after);
    }
    return report;
}

} // namespace Tanagerbay::Load
