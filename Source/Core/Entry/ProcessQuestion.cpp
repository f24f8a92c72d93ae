#include "Entry/ProcessQuestion.h"

namespace Tanagerbay::Entry {

namespace {

constexpr std::size_t kMaxProcessAnswerBytes = 1 << 20;

} // namespace

Http::Awaitable<ProcessReply> askForProcess(State &state, Routing::Endpoint endpoint,
                                            Http::CallOptions options)
{
    options.maxBodyBytes = kMaxProcessAnswerBytes;
    Http::Request question = state.dialect.writeProcessQuestion();
    const auto response
        = co_await state.client.call(endpoint.address, std::move(question), options);
    ProcessReply reply;
    if (!response) {
        if (response.error().isRefused)
            reply.answer = ProcessAnswer::Absent;
        co_return reply;
    }
    reply.head = state.dialect.readResponseHead(response->status, response->headers);
    reply.startTime = state.dialect.readProcessAnswer(response->body);
    if (!reply.startTime)
        reply.answer = ProcessAnswer::Unstated;
    else
        reply.answer
            = *reply.startTime == endpoint.incarnation ? ProcessAnswer::Same : ProcessAnswer::Other;
    co_return reply;
}

} // namespace Tanagerbay::Entry
