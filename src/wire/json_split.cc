#include "src/wire/json_split.h"

#include <string>
#include <utility>

namespace marigold {

namespace {

constexpr std::string_view kWhiteSpace = " \t\r\n";
// The bytes between the values inside brackets.
constexpr std::string_view kSeparators = " \t\r\n,:";
// The bytes that end a number, `true`, `false` or `null`.
constexpr std::string_view kAfterWord = " \t\r\n,:]}[{\"";

// Reads the tokens of a JSON text one after the other. Once a read has failed,
// `offset` is at or shortly after the invalid byte.
class JsonScanner {
 public:
  explicit JsonScanner(std::string_view source) : text(source) {}

  // Skips white space and then the byte `expected`. Returns false and skips
  // nothing if another byte or the end follows.
  bool Skip(char expected) {
    this->SkipWhiteSpace();
    if (this->position == this->text.size() ||
        this->text[this->position] != expected) {
      return false;
    }
    ++this->position;
    return true;
  }

  // Skips white space. Returns true if nothing else follows.
  bool IsAtEnd() {
    this->SkipWhiteSpace();
    return this->position == this->text.size();
  }

  // Returns the next string with its quotes, or an empty view if no whole
  // string follows.
  std::string_view TakeString() {
    this->SkipWhiteSpace();
    const std::size_t begin = this->position;
    return this->SkipString() ? this->text.substr(begin, this->position - begin)
                              : std::string_view();
  }

  // Returns the next value, or an empty view if no whole value follows.
  std::string_view TakeValue() {
    this->SkipWhiteSpace();
    const std::size_t begin = this->position;
    return this->SkipValue() ? this->text.substr(begin, this->position - begin)
                             : std::string_view();
  }

  std::size_t offset() const { return this->position; }

 private:
  void SkipWhiteSpace() {
    const std::size_t next =
        this->text.find_first_not_of(kWhiteSpace, this->position);
    this->position = next == std::string_view::npos ? this->text.size() : next;
  }

  bool SkipString() {
    if (this->position == this->text.size() ||
        this->text[this->position] != '"') {
      return false;
    }
    ++this->position;
    while (true) {
      const std::size_t next = this->text.find_first_of("\"\\", this->position);
      if (next == std::string_view::npos) {
        return false;
      }
      if (this->text[next] == '"') {
        this->position = next + 1;
        return true;
      }
      // An escape: the byte after the backslash does not end the string.
      if (next + 1 == this->text.size()) {
        return false;
      }
      this->position = next + 2;
    }
  }

  // Skips a string, a bracketed value or a word. Keeps the open brackets in a
  // string of its own, so that deep nesting does not use the stack.
  bool SkipValue() {
    std::string open_brackets;
    do {
      if (this->position == this->text.size() ||
          !this->SkipToken(open_brackets)) {
        return false;
      }
    } while (!open_brackets.empty());
    return true;
  }

  // Skips a string, a bracket or other bytes. Returns false if a bracket does
  // not match the last one of `open_brackets`, or if no value can begin here.
  bool SkipToken(std::string& open_brackets) {
    const char next = this->text[this->position];
    if (next == '"') {
      return this->SkipString();
    }
    if (next == '{' || next == '[') {
      open_brackets.push_back(next);
      ++this->position;
      return true;
    }
    if (next == '}' || next == ']') {
      const char matching = next == '}' ? '{' : '[';
      if (open_brackets.empty() || open_brackets.back() != matching) {
        return false;
      }
      open_brackets.pop_back();
      ++this->position;
      return true;
    }
    const bool is_separator = kSeparators.find(next) != std::string_view::npos;
    if (is_separator) {
      ++this->position;
      return !open_brackets.empty();
    }
    this->SkipWord();
    return true;
  }

  void SkipWord() {
    const std::size_t end =
        this->text.find_first_of(kAfterWord, this->position);
    this->position = end == std::string_view::npos ? this->text.size() : end;
  }

  std::string_view text;
  std::size_t position = 0;
};

boost::leaf::error_id Expected(const JsonScanner& scanner, std::string what) {
  return boost::leaf::new_error(
      ParseError{"", scanner.offset(), std::move(what)});
}

// Reads the items between two brackets, which commas separate. `take_item`
// reads one item from a scanner.
template <class Item, class TakeItem>
Result<std::vector<Item>> SplitItems(std::string_view text,
                                     char open_bracket,
                                     char close_bracket,
                                     const TakeItem& take_item) {
  JsonScanner scanner(text);
  std::vector<Item> items;
  if (!scanner.Skip(open_bracket)) {
    return Expected(scanner, std::string("the bracket ") + open_bracket);
  }
  bool is_closed = scanner.Skip(close_bracket);
  while (!is_closed) {
    BOOST_LEAF_AUTO(item, take_item(scanner));
    items.push_back(item);
    is_closed = scanner.Skip(close_bracket);
    if (!is_closed && !scanner.Skip(',')) {
      return Expected(scanner,
                      std::string("a comma or the bracket ") + close_bracket);
    }
  }
  if (!scanner.IsAtEnd()) {
    return Expected(scanner, "nothing after the last bracket");
  }
  return items;
}

Result<std::string_view> TakeElement(JsonScanner& scanner) {
  const std::string_view value = scanner.TakeValue();
  if (value.empty()) {
    return Expected(scanner, "a whole JSON value");
  }
  return value;
}

Result<JsonMember> TakeMember(JsonScanner& scanner) {
  std::string_view name = scanner.TakeString();
  if (name.empty() || !scanner.Skip(':')) {
    return Expected(scanner, "the name of a member and a colon");
  }
  name.remove_prefix(1);
  name.remove_suffix(1);
  BOOST_LEAF_AUTO(value, TakeElement(scanner));
  return JsonMember{name, value};
}

}  // namespace

Result<std::vector<JsonMember>> SplitJsonObject(std::string_view text) {
  return SplitItems<JsonMember>(text, '{', '}', TakeMember);
}

Result<std::vector<std::string_view>> SplitJsonArray(std::string_view text) {
  return SplitItems<std::string_view>(text, '[', ']', TakeElement);
}

}  // namespace marigold
