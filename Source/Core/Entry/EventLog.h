// Structured log: one JSON object a line on standard output.
//
// Lines are gathered and written without ever blocking. Beyond a rate or a backlog they are dropped
// and counted; the count is part of the next line.
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

    // Takes a line. Urgent ones are written at once and do not count against the rate.
    void write(const LogLine &line, Common::Time now, bool urgent = false);
    // Writes what was gathered, as far as that goes without blocking.
    void flush();
    std::uint64_t droppedLines() const;

private:
    int descriptor;
    Common::Time startedAt;
    std::string pending;
    std::uint64_t dropped = 0;
    std::uint64_t unreportedDrops = 0;
    Common::Time secondBegin;
    std::uint32_t linesThisSecond = 0;
};

} // namespace Tanagerbay::Entry
