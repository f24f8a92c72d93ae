// A worker as a process of its own, so that SIGKILL and the kernel end it.
#pragma once

#include "Plan.h"

namespace Review {

// Writes the bytes of an answer so that segments join several writes or split one.
class SegmentWriter
{
public:
    SegmentWriter(int fd, Random &random) : fd(fd), random(random)
    {
    }

    bool write(const std::string &bytes)
    {
        this->pending += bytes;
        return happens(this->random, 0.2) || this->flush();
    }

    bool flush()
    {
        const std::string bytes = std::exchange(this->pending, {});
        if (bytes.size() < 2 || !happens(this->random, 0.15))
            return sendAll(this->fd, bytes);
        const std::size_t split = 1 + this->random() % (bytes.size() - 1);
        if (!sendAll(this->fd, bytes.substr(0, split)))
            return false;
        sleepFor(between(this->random, 3, 15));
        return sendAll(this->fd, bytes.substr(split));
    }

private:
    int fd;
    Random &random;
    std::string pending;
};

// Arguments: site, IP, port, id, version, start time, framing, whether it is faulty, seed, file of
// runs.
class WorkerProcess
{
public:
    explicit WorkerProcess(char **arguments)
        : id(arguments[3]), born(arguments[5]),
          framing(static_cast<Framing>(std::atoi(arguments[6]))),
          isFaulty(std::atoi(arguments[7]) != 0), seed(std::strtoull(arguments[8], nullptr, 10)),
          runs(::open(arguments[9], O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0600)),
          site(siteNamed(arguments[0])),
          worker(
              arguments[1], arguments[3], "", arguments[4],
              [this](const WorkerCall &call) { return this->answer(call); },
              std::atoi(arguments[2]), std::strtoull(arguments[5], nullptr, 10))
    {
    }

    int run()
    {
        ::signal(SIGPIPE, SIG_IGN);
        const ::pid_t parent = ::getppid();
        if (!this->worker.isListening())
            return 1;
        // The worker doesn't outlive the rig.
        while (::getppid() == parent)
            sleepFor(100);
        std::_Exit(0);
    }

    static const Site &siteNamed(const std::string &name)
    {
        for (const Site &site : sites()) {
            if (site.name == name)
                return site;
        }
        std::_Exit(kNotRun);
    }

private:
    bool answer(const WorkerCall &call)
    {
        const std::string attempt = call.request.header("Attempt-Id");
        const Kind &kind = this->site.kindOf(call.request.target);
        Random random(this->seed ^ std::hash<std::string>()(attempt));
        // One write call: the line is there even if the process is killed right after it.
        const std::string line = attempt + " " + this->id + " " + this->born + " " + call.version
            + " " + kind.name + " " + std::to_string(firstEventOf(call.request)) + "\n";
        if (::write(this->runs, line.data(), line.size()) < 0)
            return this->close(call);
        const bool isSent = kind.isStream ? this->sendStream(call, random)
                                          : this->sendPlain(call, attempt, random);
        if (!isSent || this->framing == Framing::Unframed)
            return this->close(call);
        return true;
    }

    bool close(const WorkerCall &call)
    {
        ::close(call.fd);
        return false;
    }

    static int numberOf(const WorkerCall &call)
    {
        return std::atoi(call.request.target.substr(call.request.target.rfind('/') + 1).c_str());
    }

    bool sendStream(const WorkerCall &call, Random &random)
    {
        const bool isChunked = this->framing != Framing::Unframed;
        SegmentWriter writer(call.fd, random);
        sleepFor(between(random, 5, 60));
        if (!writer.write(streamHead(call) + (isChunked ? "Transfer-Encoding: chunked\r\n" : "")
                          + "\r\n"))
            return false;
        const int count = numberOf(call);
        const int intervalMs = between(random, 15, 40);
        for (int i = firstEventOf(call.request); i <= count; ++i) {
            const std::string event = "id: " + std::to_string(i) + "\ndata: made-by " + call.version
                + " " + this->id + "/" + this->born + "\n\n";
            if (isPeerGone(call.fd) || !writer.write(isChunked ? chunkOf(event) : event))
                return false;
            sleepFor(intervalMs);
        }
        return (!isChunked || writer.write("0\r\n\r\n")) && writer.flush();
    }

    bool sendPlain(const WorkerCall &call, const std::string &attempt, Random &random)
    {
        const std::string body = plainBody(attempt, this->id, numberOf(call));
        std::string head = responseHead(call, 200, "Content-Type: text/plain\r\n");
        if (this->framing == Framing::Length)
            head += "Content-Length: " + std::to_string(body.size()) + "\r\n";
        else if (this->framing == Framing::Chunked)
            head += "Transfer-Encoding: chunked\r\n";
        head += "\r\n";
        const bool isChunked = this->framing == Framing::Chunked;
        const std::string late = std::exchange(call.kept, {});
        if (!late.empty() && !sendAll(call.fd, late))
            return false;
        SegmentWriter writer(call.fd, random);
        sleepFor(between(random, 5, 40));
        if (!writer.write(head))
            return false;
        constexpr std::size_t kParts = 3;
        const std::size_t partSize = body.size() / kParts + 1;
        for (std::size_t at = 0; at < body.size(); at += partSize) {
            const std::string part = body.substr(at, partSize);
            if (!writer.write(isChunked ? chunkOf(part) : part))
                return false;
            sleepFor(between(random, 0, 40));
        }
        if (isChunked && !writer.write("0\r\n\r\n"))
            return false;
        if (!writer.flush())
            return false;
        // A faulty worker sends an answer twice: right behind the first one, or late, where the
        // next answer is expected.
        if (this->isFaulty && !(this->framing == Framing::Unframed) && happens(random, 0.03)) {
            const std::string note = "# second answer " + attempt + "\n";
            if (::write(this->runs, note.data(), note.size()) < 0)
                return false;
            const std::string again = head + (isChunked ? chunkOf(body) + "0\r\n\r\n" : body);
            if (happens(random, 0.5))
                call.kept = again;
            else
                return sendAll(call.fd, again);
        }
        return true;
    }

    const std::string id;
    const std::string born;
    const Framing framing;
    const bool isFaulty;
    const std::uint64_t seed;
    const int runs;
    const Site &site;
    Worker worker;
};

} // namespace Review
