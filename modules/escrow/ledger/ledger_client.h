#pragma once

#include "escrow/ledger/ledger.h"
#include "platform/objects/object_store.h"

#include <functional>
#include <optional>
#include <string>

namespace samphireway::escrow {

/**
    Writes one ledger object by conditional update and keeps its latest known version.

    After a restore of the object API from a backup, the latest known ledger is joined with the stored one
    before anything else is written. A ledger whose last writer did not know of the restore is joined as well.

    A change is a function that modifies the ledger. After a conflict it is applied again to the
    current state, so it must recognise by sequences or ids what the ledger already contains.

    @see grant_holder, apply_update
*/
class ledger_client {
public:
    /** Modifies a ledger. Returns false when there is nothing to write. */
    using change = std::function<bool(ledger&)>;

    explicit ledger_client(std::string object_key);

    /**
        Applies a change and stores the result. Returns the ledger as stored at some time during this
        call; a change with nothing to write is applied to a ledger that this call has read.

        Fails with the error of the platform call, such as `platform_unavailable` or `rate_limited`,
        with `invalid_argument` when the stored ledger is malformed, or with `conflict` after repeated
        conflicts. With the verdict `may_have_run` the write may have taken effect; after such a put,
        the next call reads the object before it writes.
    */
    core::result<ledger> update(const platform::object_store& store, const change& apply);

    /** Reads the object and returns its ledger. */
    core::result<ledger> read(const platform::object_store& store);

    /** Returns the number of platform calls made so far. */
    std::uint64_t calls() const noexcept
    {
        return this->call_count;
    }

private:
    core::result<void> refresh(const platform::object_store& store);
    void receive(platform::object_version read_version, std::uint64_t read_generation, ledger value);

    std::string key;
    void set_latest(platform::object_version read_version, ledger value);
    core::error with_unknown_write(core::error failure) const;

    /** Whether a change that will be written can be applied to `latest` without a further read. */
    bool is_latest_valid = false;
    platform::object_version version = 0;
    ledger latest;
    std::uint64_t generation = 0; ///< Of the object API that last answered; zero before the first answer.
    std::optional<ledger> known_before; ///< What a restored object API may have lost.
    std::uint64_t call_count = 0;

    // Expected version of a write of unknown outcome. The platform may still apply that write late, so
    // its outcome stays unknown until the object has another version.
    std::optional<platform::object_version> unknown_write;
};

} // namespace samphireway::escrow
