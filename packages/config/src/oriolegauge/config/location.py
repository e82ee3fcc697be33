"""Line numbers of the members of a JSON5 text, for error messages."""

import re
from collections.abc import Iterator

MemberPath = tuple[str | int, ...]

_TOKEN = re.compile(
    r'//[^\n]*|/\*.*?\*/'
    r'|(?P<text>"(?:\\.|[^"\\])*"|\'(?:\\.|[^\'\\])*\')'
    r'|(?P<mark>[{}\[\]:,])'
    r'|(?P<word>[^\s{}\[\]:,"\'/]+)',
    re.DOTALL,
)


def line_numbers(source: str) -> dict[MemberPath, int]:
    """Return the line of each member of a text that is valid JSON5."""
    return _Locator().run(source)


def nearest_line(lines: dict[MemberPath, int], path: MemberPath) -> int:
    """Return the line of the path or of its closest parent."""
    for length in range(len(path), 0, -1):
        if path[:length] in lines:
            return lines[path[:length]]
    return 1


class _Locator:
    """Read the tokens and track the path of open objects and arrays."""

    def __init__(self) -> None:
        self._lines: dict[MemberPath, int] = {}
        self._path: list[str | int] = []
        self._arrays: list[bool] = []
        self._pending = ''
        self._line = 0

    def run(self, source: str) -> dict[MemberPath, int]:
        for token, is_mark, line in _tokens(source):
            self._line = line
            if is_mark:
                self._mark(token)
            else:
                self._pending = token
                self._note_element()
        return self._lines

    def _mark(self, token: str) -> None:
        match token:
            case '{' | '[':
                self._note_element()
                self._arrays.append(token == '[')
                self._path.append(0 if token == '[' else '')
            case '}' | ']':
                self._arrays.pop()
                self._path.pop()
            case ':':
                self._path[-1] = self._pending
                self._lines[tuple(self._path)] = self._line
            case _:
                if self._arrays[-1]:
                    self._path[-1] = int(self._path[-1]) + 1

    def _note_element(self) -> None:
        if self._arrays and self._arrays[-1]:
            self._lines.setdefault(tuple(self._path), self._line)


def _tokens(source: str) -> Iterator[tuple[str, bool, int]]:
    line = 1
    position = 0
    for found in _TOKEN.finditer(source):
        line += source.count('\n', position, found.start())
        position = found.start()
        match found.lastgroup:
            case 'text':
                yield found.group()[1:-1], False, line
            case 'word':
                yield found.group(), False, line
            case 'mark':
                yield found.group(), True, line
