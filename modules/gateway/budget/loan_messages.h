#pragma once

#include "core/core.h"

#include <cstdint>
#include <string>
#include <vector>

namespace samphireway::gateway {

/** Path of the call by which a node asks another node for a loan. */
inline const std::string loan_path = "/loans";

/** Path of the call by which a borrower reports used tokens of its loans and returns unused ones. */
inline const std::string loan_report_path = "/loans/reports";

/** Header field of the answer to a loan call: whether the lender can reach the ledger, `yes` or `no`. */
inline const std::string ledger_contact_header = "Ledger-Contact";

/** The request for a loan that a borrower sends to a lender. */
struct loan_call {
    std::string borrower; ///< Id of the borrowing process.
    std::string workspace;
    std::int64_t tokens = 0;
};

/** Tokens of one workspace's loans that were used or returned since the last report. */
struct loan_use {
    std::string workspace;
    std::int64_t used = 0;
    std::int64_t returned = 0; ///< Tokens that the borrower returns unused.
};

/** A borrower's report to one lender. It is sent at most once: a repeated one would return tokens
 * twice. */
struct loan_report {
    std::string borrower;
    std::vector<loan_use> uses;
};

/** Returns the JSON body of a loan call. @see parse_loan_call */
std::string make_loan_call(const loan_call& call);

/** Parses the JSON body of a loan call. Fails with `invalid_argument` if it is malformed. */
core::result<loan_call> parse_loan_call(const std::string& body);

/** Returns the JSON body of a report. @see parse_loan_report */
std::string make_loan_report(const loan_report& report);

/** Parses the JSON body of a report. Fails with `invalid_argument` if it is malformed. */
core::result<loan_report> parse_loan_report(const std::string& body);

} // namespace samphireway::gateway
