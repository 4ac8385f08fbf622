"""The size of a JSON text once it is parsed."""

from mulberryhitch.json_size import parsed_size


def test_signs_in_strings_make_no_job_large() -> None:
    """Guards against a small job that is refused for its size."""
    plain = b'{"spec":"","steps":[{"count":4}]}'
    for spec in (b'{' * 4000, b'[,' * 2000, b'\\"{,' * 900, b'\\\\\\"[' * 800):
        job = b'{"spec":"%s","steps":[{"count":4}]}' % spec
        assert parsed_size(job) == parsed_size(plain), spec[:8]
    # Beyond the part that is looked at at once.
    text = b'[' + b','.join([b'"\\\\","{\\"["'] * 50_000) + b']'
    assert parsed_size(text) == parsed_size(b'[' + b',' * 99_999)
