#pragma once

#include "core/core.h"

#include <cstdint>
#include <string>
#include <vector>

namespace samphireway::gateway {

/** Path of the call by which a node asks another one for budget. */
inline const std::string loan_path = "/loans";

/** Path of the call by which a borrower reports what it used of its loans and returns the rest. */
inline const std::string loan_report_path = "/loans/reports";

/** A call for a loan. */
struct loan_call {
    std::string borrower; ///< Process of the borrowing node.
    std::string workspace;
    std::int64_t tokens = 0;
};

/** What became of loans of one workspace since the last report. */
struct loan_use {
    std::string workspace;
    std::int64_t used = 0;
    std::int64_t returned = 0; ///< Tokens that the borrower gives up.
};

/** A borrower's report to one lender. It is sent once: a repeated one would return tokens twice. */
struct loan_report {
    std::string borrower;
    std::vector<loan_use> uses;
};

/** Returns the body of a loan call. @see parse_loan_call */
std::string make_loan_call(const loan_call& call);

/** Reads a loan call. Fails with `invalid_argument`. */
core::result<loan_call> parse_loan_call(const std::string& body);

/** Returns the body of a report. @see parse_loan_report */
std::string make_loan_report(const loan_report& report);

/** Reads a report. Fails with `invalid_argument`. */
core::result<loan_report> parse_loan_report(const std::string& body);

} // namespace samphireway::gateway
