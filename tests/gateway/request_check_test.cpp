#include "gateway/http/request_check.h"

#include <criterion/criterion.h>

namespace {

using namespace samphireway;
using gateway::check_request_head;
using gateway::header_list;

} // namespace

// Guards against request smuggling: requests whose end this node and an upstream could see differently.
Test(request_check, ambiguous_framing_is_refused)
{
    const header_list host{{"Host", "a.example"}};
    const auto with = [&host](header_list further) {
        further.insert(further.begin(), host.begin(), host.end());
        return further;
    };
    cr_assert(check_request_head(host, "/a/"));
    cr_assert(check_request_head(with({{"Content-Length", "3"}}), "/a/"));
    cr_assert(check_request_head(with({{"transfer-encoding", "Chunked"}}), "/a/"));
    cr_assert_not(check_request_head(with({{"Content-Length", "3"}, {"content-length", "3"}}), "/a/"));
    cr_assert_not(
        check_request_head(with({{"Content-Length", "3"}, {"Transfer-Encoding", "chunked"}}), "/a/"));
    cr_assert_not(check_request_head(with({{"Transfer-Encoding", "gzip, chunked"}}), "/a/"));
    cr_assert_not(check_request_head(
        with({{"Transfer-Encoding", "chunked"}, {"Transfer-Encoding", "identity"}}), "/a/"));
}

// Guards against a route that is chosen by one of two Host headers or by a target that is not a path.
Test(request_check, host_and_target_are_unambiguous)
{
    cr_assert_not(check_request_head({}, "/a/"));
    cr_assert_not(check_request_head({{"Host", "a.example"}, {"host", "b.example"}}, "/a/"));
    cr_assert_not(check_request_head({{"Host", "a.example"}}, "http://b.example/a/"));
    cr_assert_not(check_request_head({{"Host", "a.example"}}, "*"));
}

// Guards against forwarded hop-by-hop headers, including those that Connection names.
Test(request_check, hop_by_hop_headers_are_removed)
{
    header_list headers{{"Host", "a.example"},
                        {"Connection", "keep-alive, X-Hop"},
                        {"X-Hop", "1"},
                        {"Transfer-Encoding", "chunked"},
                        {"keep-alive", "timeout=5"},
                        {"X-Other", "2"}};
    gateway::remove_connection_headers(headers);
    const header_list expected{{"Host", "a.example"}, {"X-Other", "2"}};
    cr_assert(headers == expected);
}
