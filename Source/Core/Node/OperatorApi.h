// HTTP API for operators: lists, state, metrics, drain and health.
#pragma once

#include "Http/Server.h"
#include "Node/ListSync.h"

namespace Tanagerbay::Node {

class OperatorApi
{
public:
    OperatorApi(SharedState &shared, ListSync &lists, std::function<void()> drain);

    Http::Awaitable<void> handle(Http::Exchange &exchange);

private:
    bool isAuthorized(const Http::Request &request) const;
    Http::Awaitable<Http::Response> answer(const Http::Request &request);
    Http::Awaitable<Http::Response> answerLists(const Http::Request &request,
                                                std::string_view listName, std::string_view query);
    Http::Response getList(Lists::ListKind kind) const;
    Http::Response listStatus(Lists::ListKind kind) const;
    Http::Awaitable<Http::Response> putList(const Http::Request &request, Lists::ListKind kind,
                                            std::string_view query);

    SharedState &shared;
    ListSync &lists;
    std::function<void()> drain;
};

} // namespace Tanagerbay::Node
