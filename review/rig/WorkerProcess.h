// A worker as a process of its own, so that SIGKILL and the kernel end it.
#pragma once

#include "Troubles.h"

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
    // An answer in the making. Its process, its number and its last event go into the file of runs.
    struct Run
    {
        std::string attempt;
        std::string name;
        Spoil spoil;
        int lastEvent = 0;
    };

    bool answer(const WorkerCall &call)
    {
        const Kind &kind = this->site.kindOf(call.request.target);
        Run run;
        run.attempt = call.request.header("Attempt-Id");
        run.name = this->id + "/" + this->born + "#" + std::to_string(++this->runCount);
        Random random(this->seed ^ std::hash<std::string>()(run.attempt));
        // Each run of a request has a fate of its own.
        Random fate(this->seed ^ std::hash<std::string>()(run.attempt + run.name));
        run.spoil = Spoil::chosen(fate);
        // One write call: the line is there even if the process is killed right after it.
        const std::string line = run.attempt + " " + this->id + " " + this->born + " "
            + call.version + " " + kind.name + " " + std::to_string(firstEventOf(call.request))
            + " " + run.name + " " + textOf(this->framing);
        if (!this->note(line) || (Troubles::strikes("twice", fate) && !this->note(line)))
            return this->close(call);
        const bool isSent = this->send(call, kind, random, fate, run);
        const bool isSpoiled = run.spoil.what != Spoil::What::Nothing;
        this->note("! " + run.name + " " + (isSent || isSpoiled ? run.spoil.text() : "caller-gone")
                   + " " + std::to_string(run.lastEvent));
        if (isSpoiled && run.spoil.isReset) {
            resetConnection(call.fd);
            return false;
        }
        if (!isSent || isSpoiled || this->framing == Framing::Unframed)
            return this->close(call);
        return true;
    }

    bool send(const WorkerCall &call, const Kind &kind, Random &random, Random &fate, Run &run)
    {
        if (run.spoil.what == Spoil::What::Lost) {
            sleepFor(between(random, 5, 200));
            return true;
        }
        if (run.spoil.what == Spoil::What::Junk) {
            sleepFor(between(random, 5, 60));
            std::string junk(static_cast<std::size_t>(between(random, 1, 400)), 0);
            for (char &byte : junk)
                byte = static_cast<char>(random());
            const bool isSent = sendAll(call.fd, junk);
            sleepFor(run.spoil.delayMs);
            return isSent;
        }
        return kind.isStream ? this->sendStream(call, random, fate, run)
                             : this->sendPlain(call, run, random);
    }

    bool note(const std::string &text) const
    {
        const std::string line = text + "\n";
        return ::write(this->runs, line.data(), line.size()) >= 0;
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

    // Writes the first part of an event; the rest never comes.
    bool writePart(SegmentWriter &writer, const std::string &event, const Run &run, Random &random)
    {
        const std::size_t size = 1 + random() % (event.size() - 1);
        if (this->framing == Framing::Unframed)
            return writer.write(event.substr(0, size));
        if (!run.spoil.breaksChunk)
            return writer.write(chunkOf(event.substr(0, size)));
        const std::string chunk = chunkOf(event);
        return writer.write(chunk.substr(0, 1 + random() % (chunk.size() - 1)));
    }

    bool breakOff(SegmentWriter &writer, const Run &run)
    {
        const bool isSent = writer.flush();
        sleepFor(run.spoil.delayMs);
        return isSent;
    }

    bool sendStream(const WorkerCall &call, Random &random, Random &fate, Run &run)
    {
        const bool isChunked = this->framing != Framing::Unframed;
        SegmentWriter writer(call.fd, random);
        sleepFor(between(random, 5, 60));
        if (!writer.write(streamHead(call) + (isChunked ? "Transfer-Encoding: chunked\r\n" : "")
                          + "\r\n"))
            return false;
        const int first = firstEventOf(call.request);
        const int wanted = numberOf(call);
        const int count = Troubles::strikes("worker_tail", fate) ? wanted - 1 : wanted;
        const int skipped = Troubles::strikes("worker_skip", fate) ? (first + wanted) / 2 : 0;
        const int intervalMs = between(random, 15, 40);
        const bool breaksOff = run.spoil.what == Spoil::What::BreakOff;
        // The event that isn't sent any more; a chunked stream may lack its last chunk alone.
        const int broken = first + static_cast<int>(run.spoil.at * (count - first + 2));
        run.lastEvent = first - 1;
        for (int i = first; i <= count; ++i) {
            const std::string event = "id: " + std::to_string(i) + "\ndata: made-by " + call.version
                + " " + run.name + "\n\n";
            if (breaksOff && i == broken) {
                return (!run.spoil.isInside || this->writePart(writer, event, run, random))
                    && this->breakOff(writer, run);
            }
            if (i == skipped)
                continue;
            if (isPeerGone(call.fd) || !writer.write(isChunked ? chunkOf(event) : event))
                return false;
            run.lastEvent = i;
            sleepFor(intervalMs);
        }
        if (breaksOff) {
            run.spoil.isInside = false;
            return this->breakOff(writer, run);
        }
        return (!isChunked || writer.write("0\r\n\r\n")) && writer.flush();
    }

    bool sendPlain(const WorkerCall &call, Run &run, Random &random)
    {
        const std::string body = plainBody(run.attempt, this->id, numberOf(call));
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
        const bool breaksOff = run.spoil.what == Spoil::What::BreakOff;
        const std::size_t size
            = breaksOff ? static_cast<std::size_t>(run.spoil.at * body.size()) : body.size();
        constexpr std::size_t kParts = 3;
        const std::size_t partSize = body.size() / kParts + 1;
        for (std::size_t at = 0; at < size; at += partSize) {
            const std::string part = body.substr(at, std::min(partSize, size - at));
            if (!writer.write(isChunked ? chunkOf(part) : part))
                return false;
            sleepFor(between(random, 0, 40));
        }
        if (breaksOff)
            return this->breakOff(writer, run);
        if (isChunked && !writer.write("0\r\n\r\n"))
            return false;
        if (!writer.flush())
            return false;
        // A faulty worker sends an answer twice: right behind the first one, or late, where the
        // next answer is expected.
        if (this->isFaulty && !(this->framing == Framing::Unframed) && happens(random, 0.03)) {
            if (!this->note("# second answer " + run.attempt))
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
    std::atomic<int> runCount{0};
    Worker worker;
};

} // namespace Review
