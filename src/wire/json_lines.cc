#include "src/wire/json_lines.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace marigold {

namespace {

// An object or array that is open at the current byte.
struct Container {
  std::string path;
  bool is_array = false;
  std::size_t items = 0;
};

class LineScanner {
 public:
  explicit LineScanner(std::string_view json) : text(json) {}

  std::map<std::string, std::size_t> Run() {
    while (this->at < this->text.size()) {
      this->Step();
    }
    return std::move(this->lines);
  }

 private:
  void Step() {
    const char c = this->text[this->at];
    switch (c) {
      case '\n':
        ++this->line;
        break;
      case '"':
        this->OnString();
        return;
      case '{':
      case '[':
        this->Open(c == '[');
        break;
      case '}':
      case ']':
        if (!this->open.empty()) {
          this->open.pop_back();
        }
        break;
      case ',':
      case ':':
      case ' ':
      case '\t':
      case '\r':
        break;
      default:
        this->OnScalar();
        return;
    }
    ++this->at;
  }

  // The path of the value that begins here.
  std::string PathOfValue() {
    if (this->open.empty()) {
      return "";
    }
    Container& container = this->open.back();
    if (container.is_array) {
      return fmt::format("{}[{}]", container.path, container.items++);
    }
    return container.path.empty() ? this->key
                                  : container.path + "." + this->key;
  }

  void Open(bool is_array) {
    std::string path = this->PathOfValue();
    this->lines.emplace(path, this->line);
    this->open.push_back({std::move(path), is_array, 0});
  }

  void OnString() {
    const std::size_t start = ++this->at;
    while (this->at < this->text.size() && this->text[this->at] != '"') {
      this->at += this->text[this->at] == '\\' ? 2 : 1;
    }
    const std::size_t end = std::min(this->at, this->text.size());
    this->at = end + 1;
    if (this->IsKeyNext()) {
      this->key = std::string(this->text.substr(start, end - start));
    } else {
      this->lines.emplace(this->PathOfValue(), this->line);
    }
  }

  // A string before a colon is a key.
  bool IsKeyNext() const {
    const std::size_t next = this->text.find_first_not_of(" \t\r\n", this->at);
    return next != std::string_view::npos && this->text[next] == ':';
  }

  void OnScalar() {
    this->lines.emplace(this->PathOfValue(), this->line);
    while (this->at < this->text.size() &&
           std::string_view(",]} \t\r\n").find(this->text[this->at]) ==
               std::string_view::npos) {
      ++this->at;
    }
  }

  std::string_view text;
  std::size_t at = 0;
  std::size_t line = 1;
  std::string key;
  std::vector<Container> open;
  std::map<std::string, std::size_t> lines;
};

}  // namespace

std::map<std::string, std::size_t> JsonLines(std::string_view text) {
  return LineScanner(text).Run();
}

std::size_t LineOf(std::string_view text, std::size_t offset) {
  const std::string_view before = text.substr(0, std::min(offset, text.size()));
  return 1 + static_cast<std::size_t>(
                 std::count(before.begin(), before.end(), '\n'));
}

}  // namespace marigold
