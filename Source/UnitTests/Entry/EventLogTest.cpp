#include "Entry/EventLog.h"
#include "Entry/Metrics.h"

#include <array>
#include <chrono>
#include <string>

#include <unistd.h>

#include <boost/test/unit_test.hpp>

using namespace Tanagerbay;
using namespace Tanagerbay::Entry;

namespace {

struct EventLogFixture
{
    Common::Time now = Common::Time(std::chrono::seconds(100));
    std::array<int, 2> pipeEnds = {-1, -1};

    EventLogFixture()
    {
        BOOST_REQUIRE(::pipe(this->pipeEnds.data()) == 0);
    }
    ~EventLogFixture()
    {
        ::close(this->pipeEnds[0]);
        ::close(this->pipeEnds[1]);
    }

    std::string readAll()
    {
        std::string text(1 << 20, '\0');
        const auto size = ::read(this->pipeEnds[0], text.data(), text.size());
        text.resize(size > 0 ? static_cast<std::size_t>(size) : 0);
        return text;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EventLogSuite, EventLogFixture)

BOOST_AUTO_TEST_CASE(write_valuesWithQuotesAndControlCharacters_areValidJson)
{
    EventLog log(this->pipeEnds[1], this->now);
    log.write(LogLine("x").text("k", "a\"b\n\x01").number("n", -3).flag("f", true),
              this->now + std::chrono::milliseconds(5), true);
    BOOST_TEST(this->readAll()
               == "{\"upMs\":5,\"event\":\"x\",\"k\":\"a\\\"b\\n\\u0001\",\"n\":-3,\"f\":true}\n");
}

BOOST_AUTO_TEST_CASE(write_aboveRateLimit_dropsAndCountsExcessLines)
{
    EventLog log(this->pipeEnds[1], this->now);
    for (int i = 0; i < 1000; ++i)
        log.write(LogLine("x"), this->now);
    BOOST_TEST(log.droppedLines() == 800u);
    log.write(LogLine("y"), this->now + std::chrono::seconds(1), true);
    BOOST_TEST(this->readAll().find("\"linesDropped\":800") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(write_withoutReader_doesNotBlockAndBoundsTheBacklog)
{
    EventLog log(this->pipeEnds[1], this->now);
    const std::string large(1000, 'x');
    for (int i = 0; i < 2000; ++i)
        log.write(LogLine("x").text("k", large), this->now, true);
    BOOST_TEST(log.droppedLines() > 0u);
}

BOOST_AUTO_TEST_CASE(text_countersAndHistograms_isInPrometheusFormat)
{
    Metrics metrics;
    metrics.count(labelled("requests", "outcome", "answered"), 2);
    metrics.time(labelled("request", "route", "r"), std::chrono::milliseconds(30));
    const std::string text = metrics.text();
    BOOST_TEST(text.find("tanagerbay_requests_total{outcome=\"answered\"} 2\n")
               != std::string::npos);
    BOOST_TEST(text.find("tanagerbay_request_ms_bucket{route=\"r\",le=\"25\"} 0\n")
               != std::string::npos);
    BOOST_TEST(text.find("tanagerbay_request_ms_bucket{route=\"r\",le=\"50\"} 1\n")
               != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
