#include "Entry/EventLog.h"

#include <algorithm>

#include <fcntl.h>
#include <unistd.h>

#include <boost/json.hpp>

namespace Tanagerbay::Entry {

namespace {

// About four times the peak rate of an instance in the small deployments.
constexpr std::uint32_t kMaxLinesPerSecond = 200;
// Backlog above which lines are dropped.
constexpr std::size_t kMaxPendingBytes = 256 << 10;
// Buffered lines of at least this size are written without waiting for the next flush.
constexpr std::size_t kFlushThresholdBytes = 4 << 10;

void appendQuoted(std::string &out, std::string_view text)
{
    const bool isPlain = std::all_of(text.begin(), text.end(), [](unsigned char c) {
        return c >= 0x20 && c < 0x7f && c != '"' && c != '\\';
    });
    if (isPlain)
        out.append("\"").append(text).append("\"");
    else
        out += boost::json::serialize(boost::json::string(text.data(), text.size()));
}

} // namespace

LogLine::LogLine(std::string_view event)
{
    this->body = R"("event":)";
    appendQuoted(this->body, event);
}

LogLine &LogLine::text(std::string_view key, std::string_view value)
{
    this->body.append(",\"").append(key).append("\":");
    appendQuoted(this->body, value);
    return *this;
}

LogLine &LogLine::number(std::string_view key, std::int64_t value)
{
    this->body.append(",\"").append(key).append("\":").append(std::to_string(value));
    return *this;
}

LogLine &LogLine::milliseconds(std::string_view key, Common::Duration value)
{
    return this->number(key, Common::toMilliseconds(value));
}

LogLine &LogLine::flag(std::string_view key, bool value)
{
    this->body.append(",\"").append(key).append(value ? "\":true" : "\":false");
    return *this;
}

EventLog::EventLog(int descriptor, Common::Time startedAt)
    : descriptor(descriptor), startedAt(startedAt), secondStartedAt(startedAt)
{
    const int flags = ::fcntl(descriptor, F_GETFL);
    if (flags >= 0)
        ::fcntl(descriptor, F_SETFL, flags | O_NONBLOCK);
}

void EventLog::write(const LogLine &line, Common::Time now, bool urgent)
{
    if (now - this->secondStartedAt >= std::chrono::seconds(1)) {
        this->secondStartedAt = now;
        this->linesThisSecond = 0;
    }
    const bool exceedsRate = !urgent && ++this->linesThisSecond > kMaxLinesPerSecond;
    if (exceedsRate || this->pending.size() > kMaxPendingBytes) {
        ++this->dropped;
        ++this->unreportedDrops;
        return;
    }
    this->pending.append("{\"upMs\":")
        .append(std::to_string(Common::toMilliseconds(now - this->startedAt)))
        .append(",")
        .append(line.body);
    if (this->unreportedDrops > 0)
        this->pending.append(",\"linesDropped\":").append(std::to_string(this->unreportedDrops));
    this->unreportedDrops = 0;
    this->pending.append("}\n");
    if (urgent || this->pending.size() >= kFlushThresholdBytes)
        this->flush();
}

void EventLog::flush()
{
    if (this->pending.empty())
        return;
    const auto written = ::write(this->descriptor, this->pending.data(), this->pending.size());
    if (written > 0)
        this->pending.erase(0, static_cast<std::size_t>(written));
}

std::uint64_t EventLog::droppedLines() const
{
    return this->dropped;
}

} // namespace Tanagerbay::Entry
