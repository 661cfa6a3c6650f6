#pragma once

#include <random>
#include <string>

namespace samphireway::tests {

/** Mutates texts with a seeded random generator, so that a run can be repeated. */
class mutation {
public:
    explicit mutation(std::uint64_t seed) : generator(seed) {}

    /** Returns the text with up to four changes: replaced, removed, repeated, inserted or cut off bytes. */
    std::string operator()(std::string text)
    {
        constexpr std::uint64_t maximum_changes = 4;
        const std::uint64_t changes = this->below(maximum_changes + 1);
        for (std::uint64_t change = 0; change < changes && !text.empty(); ++change) {
            this->apply_change(text);
        }
        return text;
    }

    /** Returns a random number below `bound`, which must be above zero. */
    std::uint64_t below(std::uint64_t bound)
    {
        return this->generator() % bound;
    }

private:
    void apply_change(std::string& text)
    {
        static const std::string characters("{}[]\",:\\\n\r\0\x7F\xFF\xC3 0e-.u", 20);
        const std::size_t where = this->below(text.size());
        const char character = characters[this->below(characters.size())];
        switch (this->below(5)) {
        case 0:
            text[where] = character;
            break;
        case 1:
            text.erase(where, 1 + this->below(8));
            break;
        case 2:
            text.insert(where, 1, character);
            break;
        case 3:
            text.insert(where, text.substr(this->below(text.size()), this->below(40)));
            break;
        default:
            text.resize(where);
            break;
        }
    }

    std::mt19937_64 generator;
};

} // namespace samphireway::tests
