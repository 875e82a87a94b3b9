"""The output of `ownership show`."""

from mesh.cli.ownership import ownership_lines, with_only_key

KEY_MAP = {
    "version": 7,
    "rows": [
        [0, 4095, "i-1", 3, None, None, 0.25],
        [4096, 8191, "i-1", 3, "i-2", 1.25, 0.5],
        [8192, 65535, "", 0, None, None, 0.25],
    ],
}


def test_rows_are_shown_with_what_moves_and_what_nobody_holds() -> None:
    head, _, columns, *rows = ownership_lines({"red": KEY_MAP})
    assert head == "red: map 7, 3 ranges, 1 moving, 57344 keys without a holder"
    assert columns.split() == ["keys", "holder", "fence", "moves", "traffic"]
    assert [row.split() for row in rows if row] == [
        ["0-4095", "i-1", "3", "-", "25.0%"],
        ["4096-8191", "i-1", "3", "to", "i-2,", "1.2", "s", "50.0%"],
        ["8192-65535", "none", "0", "-", "25.0%"],
    ]


def test_one_keys_row_is_shown_alone() -> None:
    assert [row[:2] for row in with_only_key(KEY_MAP, 5000)["rows"]] == [[4096, 8191]]
    assert with_only_key(KEY_MAP, None) == KEY_MAP
    assert ownership_lines({}) == ["no service is sharded by key"]
