#include "moves/evidence/fault_model.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace samphireway::moves {

namespace {

// Outcomes over the whole time count as at most this many beside the concurrent ones.
constexpr double longest_memory = 50;
// Higher rates of failures than the reference's, by less than this, are not counted as a fault.
constexpr double tolerated_failure_rate = 0.005;
// Part of a sound version's latencies that may exceed its usual ones by up to sixteen times.
constexpr double tail_part = 0.03;
constexpr std::size_t tail_buckets = 8;
// Part of each bucket that is spread over its neighbours.
constexpr double spread_part = 0.3;
// Keeps logarithms finite for latencies far from any that were observed.
constexpr double smallest_part = 1e-5;
// Two buckets are a factor of two.
constexpr std::size_t tolerated_buckets = 2;

std::vector<fault_model> make_models()
{
    const std::vector<double> portions{0.1, 0.25, 0.5};
    const std::vector<std::size_t> slowdowns{2, 3, 4, 6};
    std::vector<fault_model> models;
    for (const double portion : portions) {
        models.push_back({.signal = fault_signal::failure,
                          .portion = portion,
                          .prior = 0.5 / static_cast<double>(portions.size())});
    }
    for (const fault_signal signal : {fault_signal::first_token, fault_signal::gap}) {
        for (const double portion : portions) {
            for (const std::size_t slower_by : slowdowns) {
                models.push_back({.signal = signal,
                                  .portion = portion,
                                  .slower_by = slower_by,
                                  .prior = 0.25 / static_cast<double>(portions.size() * slowdowns.size())});
            }
        }
    }
    return models;
}

double part_at(const std::array<double, histogram::buckets>& parts, std::size_t bucket, std::size_t shift)
{
    if (bucket + 1 == histogram::buckets) {
        double sum = 0;
        for (std::size_t index = bucket - std::min(bucket, shift); index <= bucket; ++index) {
            sum += parts.at(index);
        }
        return sum;
    }
    return bucket >= shift ? parts.at(bucket - shift) : smallest_part;
}

} // namespace

const std::vector<fault_model>& fault_models()
{
    static const std::vector<fault_model> models = make_models();
    return models;
}

outcome_reference::outcome_reference(const summary& concurrent, const summary& whole)
{
    const double memory = std::min(1.0, longest_memory / std::max(1.0, static_cast<double>(whole.requests)));
    const double failures = concurrent.errors + memory * whole.errors;
    const double requests = concurrent.requests + memory * whole.requests;
    this->failure_rate = (failures + 1) / (requests + 2) + tolerated_failure_rate;
    this->first_token = make_latencies(fault_signal::first_token, concurrent.first_token, whole.first_token);
    this->gap = make_latencies(fault_signal::gap, concurrent.gap, whole.gap);
}

outcome_reference::distribution outcome_reference::smooth(const histogram& concurrent, const histogram& whole)
{
    const auto whole_total = static_cast<double>(whole.count_from(0));
    const double memory = std::min(1.0, longest_memory / std::max(1.0, whole_total));
    const double total = static_cast<double>(concurrent.count_from(0)) + memory * whole_total;
    distribution smoothed{};
    if (total <= 0) {
        return smoothed;
    }
    smoothed.fill(smallest_part);
    for (std::size_t index = 0; index < histogram::buckets; ++index) {
        const double part = (concurrent.counts.at(index) + memory * whole.counts.at(index)) / total;
        const auto add = [&smoothed](std::size_t bucket, double value) {
            smoothed.at(std::min(bucket, histogram::buckets - 1)) += value;
        };
        add(index, part * (1 - tail_part) * (1 - spread_part));
        add(index == 0 ? 0 : index - 1, part * (1 - tail_part) * spread_part / 2);
        add(index + 1, part * (1 - tail_part) * spread_part / 2);
        for (std::size_t distance = 1; distance <= tail_buckets; ++distance) {
            add(index + distance, part * tail_part / static_cast<double>(tail_buckets));
        }
    }
    return smoothed;
}

outcome_reference::latency_reference
outcome_reference::make_latencies(fault_signal signal, const histogram& concurrent, const histogram& whole)
{
    latency_reference made;
    const distribution parts = smooth(concurrent, whole);
    if (parts.front() <= 0) {
        return made;
    }
    const auto make = [&parts](double portion, std::size_t slower_by, std::size_t shift) {
        distribution logarithms{};
        for (std::size_t index = 0; index < histogram::buckets; ++index) {
            logarithms.at(index) = std::log((1 - portion) * part_at(parts, index, shift) +
                                            portion * part_at(parts, index, shift + slower_by));
        }
        return logarithms;
    };
    for (std::size_t shift = 0; shift <= tolerated_buckets; ++shift) {
        made.sound.push_back(make(0, 0, shift));
    }
    for (const fault_model& model : fault_models()) {
        std::vector<distribution>& shifted = made.faulty.emplace_back();
        if (model.signal == signal) {
            for (std::size_t shift = 0; shift <= tolerated_buckets; ++shift) {
                shifted.push_back(make(model.portion, model.slower_by, shift));
            }
        }
    }
    return made;
}

void outcome_reference::add_latencies(std::vector<double>& ratios, fault_signal signal,
                                      const histogram& observed, const latency_reference& expected)
{
    if (expected.sound.empty() || observed.count_from(0) == 0) {
        return;
    }
    const auto best = [&observed](const std::vector<distribution>& shifted) {
        double result = -std::numeric_limits<double>::infinity();
        for (const distribution& logarithms : shifted) {
            double sum = 0;
            for (std::size_t index = 0; index < histogram::buckets; ++index) {
                sum += observed.counts.at(index) * logarithms.at(index);
            }
            result = std::max(result, sum);
        }
        return result;
    };
    const double sound = best(expected.sound);
    for (std::size_t index = 0; index < fault_models().size(); ++index) {
        if (fault_models()[index].signal == signal) {
            ratios[index] += best(expected.faulty[index]) - sound;
        }
    }
}

std::vector<double> outcome_reference::log_ratios(const summary& observed) const
{
    std::vector<double> ratios(fault_models().size(), 0);
    const double successes = static_cast<double>(observed.requests) - observed.errors;
    for (std::size_t index = 0; index < fault_models().size(); ++index) {
        const fault_model& model = fault_models()[index];
        if (model.signal == fault_signal::failure) {
            const double faulty_rate = this->failure_rate + (1 - this->failure_rate) * model.portion;
            ratios[index] = observed.errors * std::log(faulty_rate / this->failure_rate) +
                            successes * std::log1p(-model.portion);
        }
    }
    add_latencies(ratios, fault_signal::first_token, observed.first_token, this->first_token);
    add_latencies(ratios, fault_signal::gap, observed.gap, this->gap);
    return ratios;
}

double log_mixture(const std::vector<double>& log_ratios)
{
    double sum = -std::numeric_limits<double>::infinity();
    for (std::size_t index = 0; index < log_ratios.size(); ++index) {
        sum = log_sum(sum, log_ratios[index] + std::log(fault_models()[index].prior));
    }
    return sum;
}

double log_sum(double left, double right)
{
    const double larger = std::max(left, right);
    return std::isinf(larger) ? larger : larger + std::log1p(std::exp(std::min(left, right) - larger));
}

} // namespace samphireway::moves
