#include "Http/EventStream.h"
#include "Common/EventLimits.h"
#include "Http/Types.h"

#include <boost/test/unit_test.hpp>

using namespace Tanagerbay::Http;

namespace {

struct EventsFixture
{
    EventParser parser;
    Event event;
    std::string bytes;

    EventsFixture()
    {
        appendEvent(this->bytes, {"0", "", "first\nsecond line"});
        appendEvent(this->bytes, {"", "done", "{}"});
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Events, EventsFixture)

BOOST_AUTO_TEST_CASE(parser_singleByteFeeds_parsesAllEvents)
{
    int parsedCount = 0;
    for (const char byte : this->bytes) {
        this->parser.feed(std::string_view(&byte, 1));
        while (this->parser.next(this->event)) {
            ++parsedCount;
            if (parsedCount == 1)
                BOOST_TEST(this->event.data == "first\nsecond line");
        }
    }
    BOOST_TEST(parsedCount == 2);
    BOOST_TEST(this->event.type == "done");
    BOOST_TEST(!this->parser.hasPartialEvent());
}

BOOST_AUTO_TEST_CASE(parser_incompleteEvent_isNotReturned)
{
    this->parser.feed(std::string_view(this->bytes).substr(0, this->bytes.size() - 1));
    BOOST_TEST(this->parser.next(this->event));
    BOOST_TEST(!this->parser.next(this->event));
    BOOST_TEST(this->parser.hasPartialEvent());
}

BOOST_AUTO_TEST_CASE(query_severalParameters_returnsTheNamedOne)
{
    BOOST_TEST(queryValue("a=1&waitMs=20&b", "waitMs") == "20");
    BOOST_TEST(queryValue("a=1", "waitMs").empty());
}

BOOST_AUTO_TEST_CASE(address_hostNameOrMissingPort_isRejected)
{
    Address address;
    BOOST_TEST(!parseAddress("localhost:80", address));
    BOOST_TEST(!parseAddress("127.0.0.1", address));
    BOOST_TEST(!parseAddress("127.0.0.1:0", address));
    BOOST_TEST(parseAddress("127.0.0.1:80", address));
}

// Guards against an event without end that an engine of the own interface sends.
BOOST_AUTO_TEST_CASE(parser_eventWithoutEnd_isTooLong)
{
    const std::string line = "data: " + std::string(4000, 'a') + "\n";
    std::size_t fed = 0;
    while (!this->parser.isEventTooLong() && fed < 4 * Tanagerbay::Common::kMaxEventBytes) {
        this->parser.feed(line);
        fed += line.size();
        BOOST_TEST(!this->parser.next(this->event));
    }
    BOOST_TEST(this->parser.isEventTooLong());
    BOOST_TEST(fed <= Tanagerbay::Common::kMaxEventBytes + line.size());
}

BOOST_AUTO_TEST_SUITE_END()
