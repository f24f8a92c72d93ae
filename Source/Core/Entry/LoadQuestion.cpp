#include "Entry/LoadQuestion.h"

#include <memory>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace Tanagerbay::Entry {

namespace asio = boost::asio;

namespace {

constexpr std::size_t kMaxAnswerBytes = 64 << 10;

struct Round
{
    explicit Round(asio::io_context &context) : done(context)
    {
    }

    asio::steady_timer done;
    std::size_t open = 0;
};

Http::Awaitable<void> askOne(State &state, std::string service, std::string healthPath,
                             Routing::Endpoint endpoint, Common::Time until,
                             std::size_t maxIdleConnections, HeadListener onHead,
                             std::shared_ptr<Round> round)
{
    const Common::Time askedAt = clockNow();
    Http::Request question;
    question.method = "GET";
    question.target = std::move(healthPath);
    Http::CallOptions options;
    options.deadline = until;
    options.connectTimeout = std::chrono::ceil<Common::Milliseconds>(until - clockNow());
    options.maxBodyBytes = kMaxAnswerBytes;
    options.maxIdleConnections = maxIdleConnections;
    // The late answer to an earlier request, or that of another endpoint at the address.
    options.acceptReply = [&state, &endpoint](const Http::Response &reply) {
        const EndpointResponseHead head
            = state.dialect.readResponseHead(reply.status, reply.headers);
        return head.statedEndpoint == endpoint.id ? Http::ReplyUse::Accept : Http::ReplyUse::Reject;
    };
    const auto answer = co_await state.client.call(endpoint.address, std::move(question), options);
    std::optional<Routing::LoadReport> load;
    if (answer) {
        const EndpointResponseHead head
            = state.dialect.readResponseHead(answer->status, answer->headers);
        load = head.load;
        onHead(endpoint, head, askedAt);
    }
    Routing::Pool &pool = state.poolOf(service);
    const auto found = pool.indexById.find(endpoint.id);
    // Whether the endpoint is healthy is judged by its answers to requests.
    if (load && found != pool.indexById.end()
        && pool.endpoints[found->second].incarnation == endpoint.incarnation)
        Routing::noteReport(pool, endpoint.id, *load, askedAt);
    state.metrics.count(labelled("load_questions", "result", load ? "answered" : "unanswered"));
    if (--round->open == 0)
        round->done.cancel();
}

} // namespace

Http::Awaitable<void> askForLoads(State &state, std::string service, std::string healthPath,
                                  std::vector<Routing::Endpoint> endpoints,
                                  Common::Duration timeout, std::size_t maxIdleConnections,
                                  HeadListener onHead)
{
    const auto round = std::make_shared<Round>(state.context);
    round->open = endpoints.size();
    const Common::Time startedAt = clockNow();
    round->done.expires_after(timeout);
    for (const Routing::Endpoint &endpoint : endpoints) {
        asio::co_spawn(state.context,
                       askOne(state, service, healthPath, endpoint, startedAt + timeout,
                              maxIdleConnections, onHead, round),
                       asio::detached);
    }
    boost::system::error_code ignored;
    if (round->open > 0)
        co_await round->done.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    state.metrics.time("load_question_wait", clockNow() - startedAt);
}

} // namespace Tanagerbay::Entry
