// Structured log: one JSON object per line on standard output.
//
// Lines are buffered and written without blocking. Lines beyond the rate limit or the backlog limit
// are dropped and counted; the next line that is logged carries the count.
#pragma once

#include "Common/Time.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace Tanagerbay::Entry {

class LogLine
{
public:
    explicit LogLine(std::string_view event);

    LogLine &text(std::string_view key, std::string_view value);
    LogLine &number(std::string_view key, std::int64_t value);
    LogLine &milliseconds(std::string_view key, Common::Duration value);
    LogLine &flag(std::string_view key, bool value);

private:
    friend class EventLog;
    std::string body;
};

class EventLog
{
public:
    // `descriptor` is put into non-blocking mode.
    EventLog(int descriptor, Common::Time startedAt);

    // Logs a line. Urgent lines are written at once and are exempt from the rate limit.
    void write(const LogLine &line, Common::Time now, bool urgent = false);
    // Writes as much of the buffered lines as is possible without blocking.
    void flush();
    std::uint64_t droppedLines() const;

private:
    int descriptor;
    Common::Time startedAt;
    std::string pending;
    std::uint64_t dropped = 0;
    std::uint64_t unreportedDrops = 0;
    Common::Time secondStartedAt;
    std::uint32_t linesThisSecond = 0;
};

} // namespace Tanagerbay::Entry
