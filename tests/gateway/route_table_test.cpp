#include "gateway/routes/route_table.h"

#include <criterion/criterion.h>

namespace {

using namespace samphireway;

gateway::configuration two_routes()
{
    gateway::configuration result{.version = 3};
    result.routes.push_back(
        {.name = "whole", .host = "shop.example", .path_prefix = "/a/", .shares = {{"desk", 1}}});
    result.routes.push_back(
        {.name = "part", .host = "shop.example", .path_prefix = "/a/b/", .shares = {{"desk", 1}}});
    result.workspaces.push_back({.name = "rim", .keys = {"first", "second"}});
    return result;
}

} // namespace

// Guards against a match of a shorter prefix than possible, and of a prefix that ends within a path segment.
Test(route_table, longest_matching_prefix_wins)
{
    const gateway::route_table table(two_routes());
    cr_assert_eq(table.find_route("shop.example", "/a/b/2f")->name, "part");
    cr_assert_eq(table.find_route("shop.example", "/a/bc")->name, "whole");
    cr_assert_eq(table.find_route("SHOP.example:8740", "/a/?x=/a/b/")->name, "whole");
    cr_assert_null(table.find_route("shop.example", "/a"));
    cr_assert_null(table.find_route("other.example", "/a/b/"));
}

// Guards against a key that is still accepted after a new configuration has removed it.
Test(route_table, keys_belong_to_the_configuration)
{
    gateway::configuration source = two_routes();
    const gateway::route_table before(source);
    source.workspaces.front().keys = {"second"};
    const gateway::route_table after(source);
    cr_assert_eq(before.find_workspace("first")->name, "rim");
    cr_assert_null(after.find_workspace("first"));
    cr_assert_eq(after.find_workspace("second")->name, "rim");
    cr_assert_null(after.find_workspace(""));
}

// Guards against a traffic split that ignores its weights or sends requests to a share of weight zero.
Test(route_table, shares_get_requests_by_weight)
{
    const gateway::route split{.shares = {{"old", 90}, {"new", 10}, {"off", 0}}};
    int to_new = 0;
    for (std::uint64_t selector = 0; selector < 1000; ++selector) {
        const std::string& service = gateway::choose_service(split, selector);
        cr_assert_neq(service, "off");
        to_new += service == "new" ? 1 : 0;
    }
    cr_assert_eq(to_new, 100);
}
